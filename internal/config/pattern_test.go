package config

import (
	"testing"

	"github.com/matryer/is"
)

func TestPatternMatch(t *testing.T) {
	cases := []struct {
		pattern, path string
		want          bool
	}{
		{"/", "/", true},
		{"/", "/a", false},
		{"/a", "/a", true},
		{"/a", "/a/", false},
		{"/a/{id}", "/a/1", true},
		{"/a/{id}", "/a/", false},
		{"/a/{id}", "/a/1/2", false},
		{"/a/{rest...}", "/a", true},
		{"/a/{rest...}", "/a/1/2", true},
		{"/a/{rest...}", "/ab", false},
		{"/{rest...}", "/", true},
		{"/a/{id}/b", "/a/1/b", true},
	}
	for _, c := range cases {
		t.Run(c.pattern+" "+c.path, func(t *testing.T) {
			is := is.New(t)
			p, err := ParsePattern(c.pattern)
			is.NoErr(err)
			is.Equal(p.Match(c.path), c.want)
		})
	}
}

func TestPatternConflicts(t *testing.T) {
	cases := []struct {
		a, b string
		want bool
	}{
		{"/a/{x}", "/a/{y}", true},
		{"/a/{x}", "/a/b", false},
		{"/{x}/b", "/a/{y}", true},
		{"/a/{rest...}", "/a/{x}", false},
		{"/a", "/b", false},
	}
	for _, c := range cases {
		t.Run(c.a+" "+c.b, func(t *testing.T) {
			is := is.New(t)
			a, err := ParsePattern(c.a)
			is.NoErr(err)
			b, err := ParsePattern(c.b)
			is.NoErr(err)
			is.Equal(a.Conflicts(b), c.want)
			is.Equal(b.Conflicts(a), c.want)
		})
	}
}
