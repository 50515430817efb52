package config

import (
	"maps"
	"slices"
	"strings"
)

// FromOrganisations compiles complete organisations, as a source publishes
// them that holds no templates, into a snapshot. A version with any defect is
// refused as a whole with Problems, which name the file given.
func FromOrganisations(version uint64, file string, orgs []*Organisation) (*Snapshot, error) {
	problems := &problemList{file: file}
	sets := make(map[string]map[string]*Slice)
	for _, org := range orgs {
		validatePublished(org, problems)
	}
	if err := problems.err(); err != nil {
		return nil, err
	}
	for _, org := range orgs {
		collect(sets, split(org))
	}
	return NewSnapshot(version, seal(sets), nil), nil
}

// validatePublished adds what makes an organisation unusable. Names are the
// source's own and may have any form.
func validatePublished(org *Organisation, problems *problemList) {
	for _, name := range slices.Sorted(maps.Keys(org.Groups)) {
		if org.Groups[name].Service == "" {
			problems.add(org.Name+".groups."+name, "names no service")
		}
	}
	for _, r := range org.Routes {
		validatePublishedRoute(org.Name+".routes."+r.Name, r, org.Groups, problems)
	}
	validateLimits(org.Limits, problems)
}

func validatePublishedRoute(key string, r Route, groups map[string]Group, problems *problemList) {
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") || !r.Prefix {
		problems.add(key+".path", "%q: want a prefix between slashes", r.Path)
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
