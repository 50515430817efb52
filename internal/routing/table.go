package routing

import (
	"slices"

	"heatherlift.example/heatherlift/internal/config"
)

// Table holds the routes of one snapshot by organisation. It is immutable, so
// that a request ends under the version it began with.
type Table struct {
	Version       uint64
	organisations map[string]*organisation
}

type organisation struct {
	limits config.Limits
	routes []compiledRoute
}

type compiledRoute struct {
	config.Route
	pattern config.Pattern
	group   config.Group
}

// NewTable compiles a snapshot.
func NewTable(s *config.Snapshot) *Table {
	t := &Table{Version: s.Version, organisations: make(map[string]*organisation)}
	for _, set := range s.Sets {
		for _, slice := range set.Slices {
			t.add(slice)
		}
	}
	for _, org := range t.organisations {
		slices.SortStableFunc(org.routes, func(a, b compiledRoute) int { return a.pattern.Compare(b.pattern) })
	}
	return t
}

func (t *Table) add(s *config.Slice) {
	org, ok := t.organisations[s.Organisation]
	if !ok {
		org = &organisation{limits: s.Limits}
		t.organisations[s.Organisation] = org
	}
	for _, r := range s.Routes {
		pattern, err := config.ParsePattern(r.Path)
		if err != nil {
			continue // the snapshot was validated; an empty pattern matches nothing
		}
		org.routes = append(org.routes, compiledRoute{Route: r, pattern: pattern, group: s.Groups[r.Group]})
	}
}

// Match is the outcome of a look-up.
type Match struct {
	Route  config.Route
	Group  config.Group
	Limits config.Limits
}

// Lookup returns the route for a request. Known reports whether the
// organisation has any route here.
func (t *Table) Lookup(org, method, path string) (m Match, known, ok bool) {
	o, known := t.organisations[org]
	if !known {
		return Match{}, false, false
	}
	for i := range o.routes {
		r := &o.routes[i]
		if slices.Contains(r.Methods, method) && r.pattern.Match(path) {
			return Match{Route: r.Route, Group: r.group, Limits: o.limits}, true, true
		}
	}
	return Match{}, true, false
}
