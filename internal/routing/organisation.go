package routing

import (
	"slices"
	"strings"

	"heatherlift.example/heatherlift/internal/config"
)

// Match is the outcome of a look-up. It is immutable.
type Match struct {
	Route  config.Route
	Group  config.Group
	Limits config.Limits
}

// organisation holds the routes of one organisation.
type organisation struct {
	slices []*config.Slice
	// methods is nil until the first look-up.
	methods map[string]*routeIndex
}

// routeIndex holds the routes of one method by the first path segment. Routes
// whose first segment is literal precede all others.
type routeIndex struct {
	literal map[string][]*compiledRoute
	others  []*compiledRoute
}

type compiledRoute struct {
	pattern config.Pattern
	match   Match
}

func (o *organisation) lookup(method, path string) *Match {
	if o.methods == nil {
		o.compile()
	}
	index, ok := o.methods[method]
	if !ok {
		return nil
	}
	if m := find(index.literal[firstSegment(path)], path); m != nil {
		return m
	}
	return find(index.others, path)
}

func find(routes []*compiledRoute, path string) *Match {
	for _, r := range routes {
		if r.pattern.Match(path) {
			return &r.match
		}
	}
	return nil
}

// compile parses the patterns and builds the index.
func (o *organisation) compile() {
	o.methods = make(map[string]*routeIndex)
	for _, r := range o.sorted() {
		for _, method := range r.match.Route.Methods {
			o.index(method).add(r)
		}
	}
}

// sorted returns the compiled routes by precedence.
func (o *organisation) sorted() []*compiledRoute {
	var routes []*compiledRoute
	for _, s := range o.slices {
		for _, r := range s.Routes {
			pattern, err := config.ParsePattern(r.Path)
			if err != nil {
				continue // the snapshot was validated
			}
			match := Match{Route: r, Group: s.Groups[r.Group], Limits: s.Limits}
			routes = append(routes, &compiledRoute{pattern: pattern, match: match})
		}
	}
	slices.SortStableFunc(routes, func(a, b *compiledRoute) int { return a.pattern.Compare(b.pattern) })
	return routes
}

func (o *organisation) index(method string) *routeIndex {
	index, ok := o.methods[method]
	if !ok {
		index = &routeIndex{literal: make(map[string][]*compiledRoute)}
		o.methods[method] = index
	}
	return index
}

func (x *routeIndex) add(r *compiledRoute) {
	first := firstSegment(r.match.Route.Path)
	if first == "" || first[0] == '{' {
		x.others = append(x.others, r)
		return
	}
	x.literal[first] = append(x.literal[first], r)
}

// firstSegment returns "a" for "/a/b".
func firstSegment(path string) string {
	if path == "" {
		return ""
	}
	rest := path[1:]
	if end := strings.IndexByte(rest, '/'); end >= 0 {
		return rest[:end]
	}
	return rest
}
