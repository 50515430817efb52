package source

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
)

// newLargeSource returns a source with n organisations, and its manifest.
func newLargeSource(t *testing.T, n int) (*valueServer, *config.Manifest) {
	t.Helper()
	d := &config.Directory{
		Templates:     map[string][]byte{"std": []byte("[limits]\nrequests_per_second = 1\nconcurrency = 1\n[groups.g]\nservice = \"s\"\n[[routes]]\nname = \"r\"\nmethods = [\"GET\"]\npath = \"/\"\ngroup = \"g\"\ndeadline = \"1s\"\n")},
		Organisations: make(map[string][]byte),
	}
	for i := range n {
		d.Organisations[fmt.Sprintf("org-%d", i)] = fmt.Appendf(nil, "template = \"std\"\n# %d\n", i)
	}
	m, blobs, err := d.Pack(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	v := &valueServer{manifest: m.Encode(), blobs: make(map[string][]byte), reads: make(map[string]int)}
	for h, content := range blobs {
		v.set(string(h), content)
	}
	return v, m
}

// countReads returns the number of blob reads of a fetcher with an empty cache.
func countReads(t *testing.T, v *valueServer) int {
	t.Helper()
	server := httptest.NewServer(v)
	defer server.Close()
	client := NewClient(server.URL, nil)
	defer client.Close()
	result, err := NewFetcher(client).Next(context.Background(), 0, 0, 0)
	if err != nil || result.Snapshot == nil {
		t.Fatalf("%+v, %v", result, err)
	}
	total := 0
	for _, n := range v.reads {
		total += n
	}
	return total
}

func TestInitialFetchReadsBundles(t *testing.T) {
	is := is.New(t)
	v, m := newLargeSource(t, 500)
	is.Equal(countReads(t, v), len(m.Bundles))
}

func TestCorruptBundleFallsBackToBlobs(t *testing.T) {
	is := is.New(t)
	v, m := newLargeSource(t, 20)
	v.set(string(m.Bundles[0]), []byte("content that does not match the hash"))
	is.Equal(countReads(t, v), len(m.Bundles)+len(m.Blobs()))
}
