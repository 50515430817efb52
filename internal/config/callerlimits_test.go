package config

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// limitedSnapshot returns a version without routes whose callers have a body limit.
func limitedSnapshot(t *testing.T, version uint64, bodyBytes int64) *Snapshot {
	t.Helper()
	s, err := FromOrganisations(version, "test", nil, CallerLimits{BodyBytes: bodyBytes, IdleTimeout: Duration(15 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestLimitsOfCallersReachOtherProxies(t *testing.T) {
	is := is.New(t)
	first, second := limitedSnapshot(t, 1, 100), limitedSnapshot(t, 2, 200)
	is.True(first.Root != second.Root) // a version that differs in them alone is another content
	full, err := Apply(nil, Diff(nil, first, nil), nil)
	is.NoErr(err)
	is.Equal(full.Callers, first.Callers)
	next, err := Apply(full, Diff(first, second, nil), nil)
	is.NoErr(err)
	is.Equal(next.Callers, second.Callers)
}

func TestAlteredLimitsOfCallersAreDetected(t *testing.T) {
	is := is.New(t)
	d := Diff(nil, limitedSnapshot(t, 1, 100), nil)
	d.Callers.BodyBytes = 1
	_, err := Apply(nil, d, nil)
	is.True(errors.Is(err, ErrHashMismatch))
}

func TestNegativeLimitsOfCallersRefuseTheVersion(t *testing.T) {
	is := is.New(t)
	_, err := FromOrganisations(1, "op", nil, CallerLimits{BodyBytes: -1, HeaderTimeout: -1})
	is.Equal(problemLines(err), []string{
		"op:callers.body_bytes: -1: want 0 or more",
		"op:callers.header_timeout: -1: want 0 or more",
	})
}

func TestUploadRouteOfATemplate(t *testing.T) {
	is := is.New(t)
	tree := parseTree([]byte(baseTemplate+"upload = true\n"), &problemList{file: "t"})
	problems := &problemList{file: "t"}
	org := readOrganisation(tree, problems)
	org.Name = "desk"
	validate(org, problems)
	is.NoErr(problems.err())
	is.True(org.Routes[0].Upload)
	org.Routes[0].Repeatable = true
	validate(org, problems)
	is.Equal(problemLines(problems.err()), []string{"t:routes[0].upload: an upload is not repeatable"})
}

// A download without `repeatable` must be repeatable, and a contradiction must be
// reported at its key.
func TestDownloadRouteOfATemplate(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		text     string
		problems []string
	}{
		{"download = true\n", nil},
		{"download = true\nrepeatable = false\n", []string{"t:routes[0].download: a download is repeatable"}},
	} {
		problems := &problemList{file: "t"}
		org := readOrganisation(parseTree([]byte(baseTemplate+test.text), problems), problems)
		org.Name = "desk"
		validate(org, problems)
		is.Equal(org.Routes[0].Repeatable, test.problems == nil)
		if test.problems == nil {
			is.NoErr(problems.err())
			continue
		}
		is.Equal(problemLines(problems.err()), test.problems)
	}
}
