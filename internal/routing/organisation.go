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
	// parts are the groups of Route.Parts.
	parts []config.Group
}

func newMatch(r config.Route, s *config.Slice) *Match {
	m := &Match{Route: r, Group: s.Groups[r.Group], Limits: s.Limits}
	for _, part := range r.Parts {
		m.parts = append(m.parts, s.Groups[part.Group])
	}
	return m
}

// organisation holds the routes of one organisation.
type organisation struct {
	slices []*config.Slice
	// methods is nil until the first look-up.
	methods map[string]*routeIndex
	// prefixes holds the routes that match by prefix.
	prefixes map[string]*Match
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
	if index, ok := o.methods[method]; ok {
		if m := find(index.literal[firstSegment(path)], path); m != nil {
			return m
		}
		if m := find(index.others, path); m != nil {
			return m
		}
	}
	return o.longestPrefix(path)
}

// longestPrefix returns the route with the longest prefix that begins the path.
func (o *organisation) longestPrefix(path string) *Match {
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
	o.prefixes = make(map[string]*Match)
	for _, s := range o.slices {
		for _, r := range s.Routes {
			if r.Prefix {
				o.prefixes[r.Path] = newMatch(r, s)
			}
		}
	}
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
			if r.Prefix {
				continue
			}
			pattern, err := config.ParsePattern(r.Path)
			if err != nil {
				continue // the snapshot was validated
			}
			routes = append(routes, &compiledRoute{pattern: pattern, match: *newMatch(r, s)})
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
