package source

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
)

// valueServer serves a manifest and blobs and counts the reads of each blob.
type valueServer struct {
	mu       sync.Mutex
	manifest []byte
	blobs    map[string][]byte
	reads    map[string]int
}

func (v *valueServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := strings.TrimPrefix(r.URL.Path, "/v1/values/")
	data, ok := v.manifest, true
	if name, isBlob := strings.CutPrefix(key, config.BlobPrefix); isBlob {
		v.reads[name]++
		data, ok = v.blobs[name]
	}
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(RevisionHeader, "7")
	_, _ = w.Write(data)
}

// set replaces a blob; a nil content removes it.
func (v *valueServer) set(hash string, content []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if content == nil {
		delete(v.blobs, hash)
		return
	}
	v.blobs[hash] = content
}

func newValueServer(t *testing.T) (*valueServer, *config.Manifest) {
	d := &config.Directory{
		Templates: map[string][]byte{"std": []byte("[limits]\nrequests_per_second = 1\nconcurrency = 1\n[groups.g]\nservice = \"s\"\n[[routes]]\nname = \"r\"\nmethods = [\"GET\"]\npath = \"/\"\ngroup = \"g\"\ndeadline = \"1s\"\n")},
		Organisations: map[string][]byte{
			"a": []byte("template = \"std\"\n# a\n"),
			"b": []byte("template = \"std\"\n# b\n"),
		},
	}
	m, blobs, err := d.Pack(nil, nil)
	is.New(t).NoErr(err)
	v := &valueServer{manifest: m.Encode(), blobs: make(map[string][]byte), reads: make(map[string]int)}
	for h, content := range blobs {
		v.blobs[string(h)] = content
	}
	return v, m
}

func newTestFetcher(t *testing.T, v *valueServer) *Fetcher {
	server := httptest.NewServer(v)
	t.Cleanup(server.Close)
	client := NewClient(server.URL, nil)
	t.Cleanup(client.Close)
	return NewFetcher(client)
}

// A manifest may be visible before its blobs, and a blob may have content that
// does not match its hash. In both cases the version must not be compiled.
func TestFetcherNeverCompilesIncompleteVersion(t *testing.T) {
	is := is.New(t)
	v, m := newValueServer(t)
	f := newTestFetcher(t, v)
	hash := string(m.Organisations["a"].Parameters)
	content := v.blobs[hash]
	v.set(hash, nil)
	_, err := f.Next(context.Background(), 0, 0, 0)
	is.True(errors.Is(err, ErrNotFound))
	v.set(hash, []byte("other"))
	_, err = f.Next(context.Background(), 0, 0, 0)
	is.True(errors.Is(err, ErrMalformed))
	v.set(hash, content)
	result, err := f.Next(context.Background(), 0, 0, 0)
	is.NoErr(err)
	is.NoErr(result.Snapshot.Consistent())
	is.Equal(len(result.Snapshot.Sets["s"].Slices), 2)
}

// Covers retries after a failure, too: blobs that were read once stay cached.
func TestFetcherReadsOnlyMissingBlobs(t *testing.T) {
	is := is.New(t)
	v, m := newValueServer(t)
	f := newTestFetcher(t, v)
	missing := string(m.Organisations["b"].Parameters)
	content := v.blobs[missing]
	v.set(missing, nil)
	for range 5 {
		_, err := f.Next(context.Background(), 0, 0, 0)
		is.True(err != nil)
	}
	v.set(missing, content)
	for range 3 {
		_, err := f.Next(context.Background(), 0, 0, 0)
		is.NoErr(err)
	}
	for hash, n := range v.reads {
		is.True(hash == missing || n == 1)
	}
}

func TestFetcherRefusesInvalidManifest(t *testing.T) {
	is := is.New(t)
	v, _ := newValueServer(t)
	v.manifest = []byte("{}")
	result, err := newTestFetcher(t, v).Next(context.Background(), 0, 0, 0)
	is.NoErr(err)
	is.Equal(result.Version, uint64(7))
	is.Equal(result.Refused.Error(), "manifest:organisations: missing")
}
