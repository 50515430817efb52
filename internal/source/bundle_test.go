package source

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
)

// many returns a source with n organisations and its manifest.
func many(t *testing.T, n int) (*values, *config.Manifest) {
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
	v := &values{manifest: m.Encode(), blobs: make(map[string][]byte), reads: make(map[string]int)}
	for h, text := range blobs {
		v.set(string(h), text)
	}
	return v, m
}

// reads returns the number of reads that a fetcher without memory needs.
func reads(t *testing.T, v *values) int {
	t.Helper()
	server := httptest.NewServer(v)
	defer server.Close()
	client := NewClient(server.URL, nil)
	defer client.Close()
	reading, err := NewFetcher(client).Next(context.Background(), 0, 0, 0)
	if err != nil || reading.Snapshot == nil {
		t.Fatalf("%+v, %v", reading, err)
	}
	total := 0
	for _, n := range v.reads {
		total += n
	}
	return total
}

func TestFirstReadingTakesBundles(t *testing.T) {
	is := is.New(t)
	v, m := many(t, 500)
	is.Equal(reads(t, v), len(m.Bundles))
}

func TestBrokenBundleIsPassedOver(t *testing.T) {
	is := is.New(t)
	v, m := many(t, 20)
	v.set(string(m.Bundles[0]), []byte("not what the hash says"))
	is.Equal(reads(t, v), len(m.Bundles)+len(m.Blobs()))
}
