package routing

import (
	"slices"
	"strings"

	"heatherlift.example/heatherlift/internal/config"
)

// RouteMatch is the result of a lookup. It is immutable.
type RouteMatch struct {
	Route  config.Route
	Group  config.Group
	Limits config.Limits
	// partGroups holds the groups of Route.Parts, in the same order.
	partGroups []config.Group
}

func newMatch(r config.Route, s *config.Slice) *RouteMatch {
	m := &RouteMatch{Route: r, Group: s.Groups[r.Group], Limits: s.Limits}
	for _, part := range r.Parts {
		m.partGroups = append(m.partGroups, s.Groups[part.Group])
	}
	return m
}

// organisationRoutes holds the routes of one organisation.
type organisationRoutes struct {
	slices []*config.Slice
	// methods holds the pattern routes by method, nil until the first lookup.
	methods map[string]*routeIndex
	// prefixes holds the prefix routes by prefix, nil until the first lookup.
	prefixes map[string]*RouteMatch
}

// routeIndex holds the routes of one method by the first path segment. Routes
// with a literal first segment precede all others.
type routeIndex struct {
	literal  map[string][]*compiledRoute
	wildcard []*compiledRoute
}

type compiledRoute struct {
	pattern config.Pattern
	match   RouteMatch
}

func (o *organisationRoutes) lookup(method, path string) *RouteMatch {
	if o.methods == nil {
		o.compile()
	}
	if index, ok := o.methods[method]; ok {
		if m := firstMatch(index.literal[firstSegment(path)], path); m != nil {
			return m
		}
		if m := firstMatch(index.wildcard, path); m != nil {
			return m
		}
	}
	return o.longestPrefix(path)
}

// longestPrefix returns the route with the longest prefix of the path, nil if
// there is none.
func (o *organisationRoutes) longestPrefix(path string) *RouteMatch {
	if len(o.prefixes) == 0 {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if m := o.prefixes[path[:end+1]]; m != nil {
			return m
		}
	}
	return nil
}

func firstMatch(routes []*compiledRoute, path string) *RouteMatch {
	for _, r := range routes {
		if r.pattern.Match(path) {
			return &r.match
		}
	}
	return nil
}

// compile parses the path patterns and builds the index.
func (o *organisationRoutes) compile() {
	o.methods = make(map[string]*routeIndex)
	o.prefixes = make(map[string]*RouteMatch)
	for _, s := range o.slices {
		for _, r := range s.Routes {
			if r.Prefix {
				o.prefixes[r.Path] = newMatch(r, s)
			}
		}
	}
	for _, r := range o.compiledByPrecedence() {
		for _, method := range r.match.Route.Methods {
			o.methodIndex(method).add(r)
		}
	}
}

// compiledByPrecedence returns the compiled pattern routes in order of
// precedence.
func (o *organisationRoutes) compiledByPrecedence() []*compiledRoute {
	var routes []*compiledRoute
	for _, s := range o.slices {
		for _, r := range s.Routes {
			if r.Prefix {
				continue
			}
			pattern, err := config.ParsePattern(r.Path)
			if err != nil {
				continue // cannot happen: the snapshot was validated
			}
			routes = append(routes, &compiledRoute{pattern: pattern, match: *newMatch(r, s)})
		}
	}
	slices.SortStableFunc(routes, func(a, b *compiledRoute) int { return a.pattern.Compare(b.pattern) })
	return routes
}

func (o *organisationRoutes) methodIndex(method string) *routeIndex {
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
		x.wildcard = append(x.wildcard, r)
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
