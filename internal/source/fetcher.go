package source

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"heatherlift.example/heatherlift/internal/config"
)

// concurrentBlobReads bounds the blob reads in flight of one fetcher.
const concurrentBlobReads = 4

// Fetcher follows the manifest and compiles each version. It keeps the blobs
// of the last version, so that a change costs the reads of what it changes.
// It is not safe for concurrent use.
type Fetcher struct {
	client   *Client
	compiler *config.Compiler
	blobs    map[config.Hash][]byte
}

// NewFetcher returns a fetcher that reads through client.
func NewFetcher(client *Client) *Fetcher {
	return &Fetcher{client: client, compiler: config.NewCompiler(), blobs: make(map[config.Hash][]byte)}
}

// Reading is the outcome of one watch.
type Reading struct {
	// Version is the revision of the manifest read, 0 if it did not change.
	Version uint64
	// Snapshot is the compiled version, nil if unchanged or refused.
	Snapshot *config.Snapshot
	// Refused tells why the whole version is refused.
	Refused config.Problems
}

// Next waits for a manifest above the version after and compiles it. It
// returns ErrUnavailable or ErrNotFound if the source could not be read; the
// caller tries again later.
func (f *Fetcher) Next(ctx context.Context, after uint64, wait time.Duration) (Reading, error) {
	value, err := f.client.Watch(ctx, config.ManifestKey, after, wait)
	if err != nil || value.Revision == 0 {
		return Reading{}, err
	}
	reading := Reading{Version: value.Revision}
	manifest, err := config.ParseManifest(value.Data)
	if err != nil {
		return refuse(reading, err)
	}
	if err := f.fetch(ctx, manifest); err != nil {
		return Reading{}, err
	}
	reading.Snapshot, err = f.compiler.Compile(value.Revision, manifest, f.blobs)
	if err != nil {
		return refuse(reading, err)
	}
	return reading, nil
}

// refuse turns Problems into a refused reading and passes other errors on.
func refuse(r Reading, err error) (Reading, error) {
	var problems config.Problems
	if errors.As(err, &problems) {
		r.Refused = problems
		return r, nil
	}
	return Reading{}, err
}

// fetch reads the blobs that are not held yet and drops those not named.
func (f *Fetcher) fetch(ctx context.Context, m *config.Manifest) error {
	hashes := m.Blobs()
	texts := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentBlobReads)
	for i, h := range hashes {
		if text, ok := f.blobs[h]; ok {
			texts[i] = text
			continue
		}
		group.Go(func() error {
			value, err := f.client.Get(ctx, config.BlobPrefix+string(h))
			texts[i] = value.Data
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	next := make(map[config.Hash][]byte, len(hashes))
	for i, h := range hashes {
		if config.HashOf(texts[i]) != h {
			return errors.Wrapf(ErrMalformed, "blob %s: content does not match its hash", h.Short())
		}
		next[h] = texts[i]
	}
	f.blobs = next
	return nil
}
