package config

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// ValidName reports whether s is a valid name of an organisation, service,
// availability zone, group or route.
func ValidName(s string) bool {
	return len(s) <= MaxNameBytes && namePattern.MatchString(s)
}

// validate adds a problem for each invalid value of an organisation.
func validate(org *Organisation, problems *problemList) {
	if !ValidName(org.Name) {
		problems.add("", "organisation name %q: want lower-case letters, digits and '-', at most %d", org.Name, MaxNameBytes)
	}
	validateGroups(org, problems)
	validateRoutes(org, problems)
	validateLimits(org.Limits, problems)
}

func validateGroups(org *Organisation, problems *problemList) {
	for _, name := range slices.Sorted(maps.Keys(org.Groups)) {
		key := "groups." + name
		if !ValidName(name) {
			problems.add(key, "invalid group name")
		}
		if !ValidName(org.Groups[name].Service) {
			problems.add(key+".service", "%q is no service name", org.Groups[name].Service)
		}
		for _, zone := range org.Groups[name].AvailabilityZones {
			if !ValidName(zone) {
				problems.add(key+".availability_zones", "%q is no availability zone name", zone)
			}
		}
	}
}

func validateRoutes(org *Organisation, problems *problemList) {
	if len(org.Routes) == 0 || len(org.Routes) > MaxRoutes {
		problems.add("routes", "%d routes: want 1 to %d", len(org.Routes), MaxRoutes)
	}
	names := make(map[string]bool)
	patterns := make([]Pattern, len(org.Routes))
	for i, r := range org.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		if !ValidName(r.Name) || names[r.Name] {
			problems.add(key+".name", "%q: want a unique lower-case name", r.Name)
		}
		names[r.Name] = true
		validateRoute(key, r, org.Groups, problems)
		p, err := ParsePattern(r.Path)
		if err != nil {
			problems.add(key+".path", "%v", err)
			continue
		}
		patterns[i] = p
		validateOverlap(key, org.Routes[:i], patterns[:i], r, p, problems)
	}
}

func validateRoute(key string, r Route, groups map[string]Group, problems *problemList) {
	if len(r.Methods) == 0 {
		problems.add(key+".methods", "missing: want at least one of %v", knownMethods)
	}
	for i, m := range r.Methods {
		if !slices.Contains(knownMethods, m) {
			problems.add(key+".methods", "%q: want one of %v", m, knownMethods)
		}
		if slices.Contains(r.Methods[:i], m) {
			problems.add(key+".methods", "%q is listed twice", m)
		}
	}
	validateDestination(key, r, groups, problems)
}

// validateDestination validates what pattern routes and prefix routes have in
// common: the group, the deadline and the kind of request.
func validateDestination(key string, r Route, groups map[string]Group, problems *problemList) {
	if _, ok := groups[r.Group]; !ok {
		problems.add(key+".group", "no group %q in this version", r.Group)
	}
	d := time.Duration(r.Deadline)
	if d < MinDeadline || d > MaxDeadline {
		problems.add(key+".deadline", "%v: want %v to %v", d, MinDeadline, MaxDeadline)
	}
	if r.Upload && r.Repeatable {
		problems.add(key+".upload", "an upload is not repeatable")
	}
	if r.Download && !r.Repeatable {
		problems.add(key+".download", "a download is repeatable")
	}
}

func validateOverlap(key string, earlier []Route, patterns []Pattern, r Route, p Pattern, problems *problemList) {
	for i, other := range earlier {
		if sharesMethod(other.Methods, r.Methods) && patterns[i].Conflicts(p) {
			problems.add(key+".path", "overlaps route %q", other.Name)
		}
	}
}

func sharesMethod(a, b []string) bool {
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func validateLimits(l Limits, problems *problemList) {
	if l.RequestsPerSecond < 1 || l.RequestsPerSecond > MaxRequestsPerSecond {
		problems.add("limits.requests_per_second", "%d: want 1 to %d", l.RequestsPerSecond, MaxRequestsPerSecond)
	}
	if l.Concurrency < 1 || l.Concurrency > MaxConcurrency {
		problems.add("limits.concurrency", "%d: want 1 to %d", l.Concurrency, MaxConcurrency)
	}
}
