package config

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformedPattern is returned for a malformed path pattern.
var ErrMalformedPattern = errors.New("malformed path pattern")

var (
	literalSegment  = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)
	wildcardSegment = regexp.MustCompile(`^\{[a-z][a-z0-9_]*\}$`)
	catchAllSegment = regexp.MustCompile(`^\{[a-z][a-z0-9_]*\.\.\.\}$`)
)

// Pattern is a parsed path pattern. The zero Pattern matches nothing.
type Pattern struct {
	segments []string
	catchAll bool
	valid    bool
}

// wildcard represents a segment that matches any one path segment.
const wildcard = ""

// ParsePattern parses a path pattern. It returns ErrMalformedPattern if path is
// malformed.
func ParsePattern(path string) (Pattern, error) {
	if !strings.HasPrefix(path, "/") {
		return Pattern{}, errors.Wrapf(ErrMalformedPattern, "%q does not begin with '/'", path)
	}
	p := Pattern{valid: true}
	if path == "/" {
		return p, nil
	}
	parts := strings.Split(path[1:], "/")
	for i, part := range parts {
		switch {
		case wildcardSegment.MatchString(part):
			p.segments = append(p.segments, wildcard)
		case catchAllSegment.MatchString(part) && i == len(parts)-1:
			p.catchAll = true
		case literalSegment.MatchString(part) && part != "." && part != "..":
			p.segments = append(p.segments, part)
		default:
			return Pattern{}, errors.Wrapf(ErrMalformedPattern, "segment %q of %q", part, path)
		}
	}
	return p, nil
}

// Match reports whether path matches the pattern.
func (p Pattern) Match(path string) bool {
	if !p.valid {
		return false
	}
	rest := path
	for _, want := range p.segments {
		segment, after, ok := nextSegment(rest)
		if !ok || (want != wildcard && want != segment) {
			return false
		}
		rest = after
	}
	if p.catchAll {
		return rest == "" || rest[0] == '/'
	}
	return rest == "" || (rest == "/" && len(p.segments) == 0)
}

// nextSegment splits "/segment/rest" into "segment" and "/rest".
func nextSegment(path string) (segment, rest string, ok bool) {
	if len(path) < 2 || path[0] != '/' {
		return "", "", false
	}
	end := strings.IndexByte(path[1:], '/')
	if end < 0 {
		return path[1:], "", true
	}
	return path[1 : 1+end], path[1+end:], end > 0
}

// Compare orders patterns that match the same path by precedence. It is negative
// if p takes precedence over q. The first segment that is literal in one pattern
// and a wildcard in the other decides for the literal one. Otherwise longer
// patterns precede shorter ones, and patterns without a final {name...} precede
// those with one.
func (p Pattern) Compare(q Pattern) int {
	for i := 0; i < len(p.segments) && i < len(q.segments); i++ {
		a, b := p.segments[i], q.segments[i]
		if (a == wildcard) != (b == wildcard) {
			if a == wildcard {
				return 1
			}
			return -1
		}
	}
	if len(p.segments) != len(q.segments) {
		return len(q.segments) - len(p.segments)
	}
	switch {
	case p.catchAll == q.catchAll:
		return 0
	case p.catchAll:
		return 1
	default:
		return -1
	}
}

// Conflicts reports whether some path matches both patterns and neither pattern
// is more specific than the other.
func (p Pattern) Conflicts(q Pattern) bool {
	if !p.intersects(q) {
		return false
	}
	return !p.covers(q) && !q.covers(p) || p.equal(q)
}

func (p Pattern) equal(q Pattern) bool {
	return p.covers(q) && q.covers(p)
}

func (p Pattern) intersects(q Pattern) bool {
	n := min(len(p.segments), len(q.segments))
	for i := range n {
		a, b := p.segments[i], q.segments[i]
		if a != wildcard && b != wildcard && a != b {
			return false
		}
	}
	if len(p.segments) == len(q.segments) {
		return true
	}
	if len(p.segments) < len(q.segments) {
		return p.catchAll
	}
	return q.catchAll
}

// covers reports whether every path that matches q matches p.
func (p Pattern) covers(q Pattern) bool {
	if len(p.segments) > len(q.segments) {
		return false
	}
	for i, want := range p.segments {
		if want != wildcard && want != q.segments[i] {
			return false
		}
	}
	if p.catchAll {
		return true
	}
	return len(p.segments) == len(q.segments) && !q.catchAll
}
