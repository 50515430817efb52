package config

import (
	"maps"
	"slices"
	"strings"
)

// FromOrganisations compiles organisations from a source without templates into
// a snapshot with the given limits of callers. If any organisation or limit is
// invalid, it returns Problems for the whole version, attributed to file.
func FromOrganisations(version uint64, file string, orgs []*Organisation, callers CallerLimits) (*Snapshot, error) {
	problems := &problemList{file: file}
	sets := make(map[string]map[string]*Slice)
	callers.validate("callers", problems)
	for _, org := range orgs {
		validateExpanded(org, problems)
	}
	if err := problems.err(); err != nil {
		return nil, err
	}
	for _, org := range orgs {
		addSlices(sets, splitByService(org))
	}
	return newSnapshot(version, newServiceSets(sets), callers, nil), nil
}

// validateExpanded adds the defects of an organisation from a source without
// templates. Names are chosen by the source and are not restricted.
func validateExpanded(org *Organisation, problems *problemList) {
	for _, name := range slices.Sorted(maps.Keys(org.Groups)) {
		if org.Groups[name].Service == "" {
			problems.add(org.Name+".groups."+name, "service is missing")
		}
	}
	for _, r := range org.Routes {
		validateExpandedRoute(org.Name+".routes."+r.Name, r, org.Groups, problems)
	}
	validateLimits(org.Limits, problems)
}

func validateExpandedRoute(key string, r Route, groups map[string]Group, problems *problemList) {
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") || !r.Prefix {
		problems.add(key+".path", "%q: want a prefix that begins and ends with '/'", r.Path)
	}
	validateDestination(key, r, groups, problems)
	for _, part := range r.Parts {
		if _, ok := groups[part.Group]; !ok {
			problems.add(key+".parts", "no group %q in this version", part.Group)
		}
		if part.Weight < 0 {
			problems.add(key+".parts", "%d: want a weight of at least 0", part.Weight)
		}
	}
}
