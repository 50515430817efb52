package config

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
)

const testTemplate = `
[parameters.rate]
type = "integer"
min = 1
max = 100

[limits]
requests_per_second = "${rate}"
concurrency = 5

[groups.desk]
service = "desk"

[[routes]]
name = "read"
methods = ["GET"]
path = "/a/{id}"
group = "desk"
deadline = "1s"
repeatable = true
`

func directory(organisations map[string]string) *Directory {
	d := &Directory{Templates: map[string][]byte{"std": []byte(testTemplate)}, Organisations: make(map[string][]byte)}
	for name, parameters := range organisations {
		d.Organisations[name] = []byte("template = \"std\"\n[parameters]\n" + parameters)
	}
	return d
}

func TestCheckReportsFileAndKey(t *testing.T) {
	cases := []struct {
		name, parameters, want string
	}{
		{"missing", "", "organisations/acme.toml:parameters.rate: missing: the template requires type integer"},
		{"unknown", "rate = 1\nextra = 2", "organisations/acme.toml:parameters.extra: unknown: the template declares no such parameter"},
		{"type", "rate = \"x\"", "organisations/acme.toml:parameters.rate: want an integer, got a string"},
		{"zero", "rate = 0", "organisations/acme.toml:parameters.rate: 0 is below the minimum 1"},
		{"beyond", "rate = 101", "organisations/acme.toml:parameters.rate: 101 is above the maximum 100"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := directory(map[string]string{"acme": c.parameters}).Check()
			is.New(t).Equal(problems.Error(), c.want)
		})
	}
}

func TestRejectedOrganisationKeepsPreviousContent(t *testing.T) {
	is := is.New(t)
	good := directory(map[string]string{"acme": "rate = 10", "other": "rate = 20"})
	first, blobs, err := good.Pack(nil, nil)
	is.NoErr(err)
	bad := directory(map[string]string{"acme": "rate = 0", "other": "rate = 30"})
	second, blobs2, err := bad.Pack(first, blobs)
	is.NoErr(err)

	s, err := NewCompiler().Compile(2, second, blobs2)
	is.NoErr(err)
	is.NoErr(s.Consistent())
	is.Equal(len(s.Rejected), 1)
	is.Equal(s.Rejected[0].Organisation, "acme")
	is.Equal(s.Sets["desk"].Slices["acme"].Limits.RequestsPerSecond, 10)
	is.Equal(s.Sets["desk"].Slices["other"].Limits.RequestsPerSecond, 30)
}

func TestInvalidOrganisationWithoutPreviousContentRefusesVersion(t *testing.T) {
	is := is.New(t)
	m, blobs, err := directory(map[string]string{"acme": "rate = 0"}).Pack(nil, nil)
	is.NoErr(err)
	entry := m.Organisations["acme"]
	entry.Previous = nil
	m.Organisations["acme"] = entry
	_, err = NewCompiler().Compile(1, m, blobs)
	is.True(errors.Is(err, ErrInvalid))
}

// TestDeltaChainEqualsFullTransfer checks that applying the deltas of successive
// versions gives the same snapshot as a full transfer of the same version.
func TestDeltaChainEqualsFullTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scope := NewScope("desk")
		compiler := NewCompiler()
		var manifest *Manifest
		var blobs map[Hash][]byte
		var held, previous *Snapshot
		for version := uint64(1); version < 6; version++ {
			organisations := make(map[string]string)
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID).Draw(t, "names") {
				organisations[name] = rapid.SampledFrom([]string{"rate = 1", "rate = 2", "rate = 0"}).Draw(t, "rate")
			}
			var err error
			manifest, blobs, err = directory(organisations).Pack(manifest, blobs)
			if err != nil {
				t.Fatal(err)
			}
			target, err := compiler.Compile(version, manifest, blobs)
			if err != nil {
				t.Fatal(err)
			}
			held, err = Apply(held, Diff(previous, target, scope), scope)
			if err != nil {
				t.Fatal(err)
			}
			full, err := Apply(nil, Diff(nil, target, scope), scope)
			if err != nil {
				t.Fatal(err)
			}
			if held.Root != full.Root || held.Root != target.Root {
				t.Fatalf("version %d: root after deltas differs from the root of a full transfer or of the compiled snapshot", version)
			}
			previous = target
		}
	})
}
