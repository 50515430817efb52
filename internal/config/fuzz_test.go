package config

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
)

func FuzzParseTemplate(f *testing.F) {
	for _, seed := range []string{baseTemplate, testTemplate, "", "[", "a=1", "[parameters]\nx=1", "[parameters.a]\ntype=\"list\"\ndefault=[1]", "routes=[1]", "[[groups]]\n", "limits=[[]]"} {
		f.Add(seed, "template = \"t\"\n[parameters]\nrate = 1\n")
	}
	f.Fuzz(func(t *testing.T, template, organisation string) {
		org, err := parseAndInstantiate("acme", HashOf([]byte(template)), []byte(template), []byte(organisation), make(templateCache))
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("want ErrInvalid, got %v", err)
			}
			return
		}
		for _, s := range splitByService(org) {
			if err := s.consistent(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func FuzzParseManifest(f *testing.F) {
	m, _, err := directory(map[string]string{"acme": "rate = 1"}).Pack(nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{string(m.Encode()), "{}", "null", "[]", `{"organisations":null}`, `{"organisations":{"a":{"previous":{}}}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest(data)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("want ErrInvalid, got %v", err)
			}
			return
		}
		if _, err := ParseManifest(m.Encode()); err != nil {
			t.Fatalf("re-encoded manifest is rejected: %v", err)
		}
		_, _ = NewCompiler().Compile(1, m, nil)
	})
}

// FuzzApplyDelta applies corrupted deltas. Apply must return an error or a
// consistent and complete snapshot, and must not accept different content under
// the root of a published version.
func FuzzApplyDelta(f *testing.F) {
	base, target := fuzzSnapshots(f)
	for _, d := range []*Delta{Diff(nil, target, nil), Diff(base, target, nil), Diff(base, base, nil), Diff(nil, target, NewScope("desk"))} {
		text, err := json.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"sets":{"desk":{"put":[null]}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var d Delta
		if json.Unmarshal(text, &d) != nil {
			return
		}
		out, err := Apply(base, &d, nil)
		if err != nil {
			return
		}
		if err := out.Consistent(); err != nil || !out.Complete(nil) {
			t.Fatalf("Apply accepted an inconsistent or incomplete snapshot: %v", err)
		}
		if out.Root == target.Root && out.Sets["desk"].Hash != target.Sets["desk"].Hash {
			t.Fatal("Apply accepted different content under the published root")
		}
	})
}

func fuzzSnapshots(f *testing.F) (base, target *Snapshot) {
	m, blobs, err := directory(map[string]string{"acme": "rate = 1", "other": "rate = 2"}).Pack(nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	base, err = NewCompiler().Compile(1, m, blobs)
	if err != nil {
		f.Fatal(err)
	}
	m, blobs, err = directory(map[string]string{"acme": "rate = 3", "third": "rate = 2"}).Pack(m, blobs)
	if err != nil {
		f.Fatal(err)
	}
	target, err = NewCompiler().Compile(2, m, blobs)
	if err != nil {
		f.Fatal(err)
	}
	return base, target
}
