package source

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"heatherlift.example/heatherlift/internal/config"
)

// concurrentBlobReads bounds the blob reads in flight of one fetcher.
const concurrentBlobReads = 4

// bundleFrom is the number of missing blobs from which bundles are read.
const bundleFrom = 8

// Fetcher follows the manifest and compiles each version. It keeps the blobs
// of the last version, and those of a version whose reading failed, so that a
// change costs the reads of what it changes.
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

// Next waits for a manifest above the version after and compiles it, reading
// at most perSecond blobs a second; 0 means no bound. It
// returns ErrUnavailable or ErrNotFound if the source could not be read; the
// caller tries again later.
func (f *Fetcher) Next(ctx context.Context, after uint64, wait time.Duration, perSecond float64) (Reading, error) {
	value, err := f.client.Watch(ctx, config.ManifestKey, after, wait)
	if err != nil || value.Revision == 0 {
		return Reading{}, err
	}
	reading := Reading{Version: value.Revision}
	manifest, err := config.ParseManifest(value.Data)
	if err != nil {
		return refuse(reading, err)
	}
	if err := f.fetch(ctx, manifest, limiter(perSecond)); err != nil {
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

// limiter returns a limiter of blob reads.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), concurrentBlobReads)
}

// fetch reads the blobs that are not held yet and drops those not named. Blobs
// read before a failure are kept for the next try.
func (f *Fetcher) fetch(ctx context.Context, m *config.Manifest, limit *rate.Limiter) error {
	hashes := m.Blobs()
	missing := f.missing(hashes)
	if len(missing) >= bundleFrom {
		f.readBundles(ctx, m.Bundles, missing, limit)
		missing = f.missing(missing)
	}
	texts, err := f.read(ctx, missing, limit)
	for i, h := range missing {
		if texts[i] != nil {
			f.blobs[h] = texts[i]
		}
	}
	if err != nil {
		return err
	}
	next := make(map[config.Hash][]byte, len(hashes))
	for _, h := range hashes {
		next[h] = f.blobs[h]
	}
	f.blobs = next
	return nil
}

// missing returns the hashes of blobs that are not held.
func (f *Fetcher) missing(hashes []config.Hash) []config.Hash {
	var missing []config.Hash
	for _, h := range hashes {
		if _, ok := f.blobs[h]; !ok {
			missing = append(missing, h)
		}
	}
	return missing
}

// readBundles takes the missing blobs from the bundles. A bundle that cannot
// be read is passed over, since each blob can be read by itself.
func (f *Fetcher) readBundles(ctx context.Context, bundles, missing []config.Hash, limit *rate.Limiter) {
	texts, _ := f.read(ctx, bundles, limit)
	for _, text := range texts {
		opened, err := config.OpenBundle(text)
		if err != nil {
			continue
		}
		for _, h := range missing {
			if blob, ok := opened[h]; ok {
				f.blobs[h] = blob
			}
		}
	}
}

// read returns the blobs in the order of their hashes, nil for those that
// could not be read. After a failure no further read starts, but those in
// flight end, so that none is in vain.
func (f *Fetcher) read(ctx context.Context, hashes []config.Hash, limit *rate.Limiter) ([][]byte, error) {
	texts := make([][]byte, len(hashes))
	var group errgroup.Group
	var failed atomic.Bool
	group.SetLimit(concurrentBlobReads)
	for i, h := range hashes {
		group.Go(func() error {
			if failed.Load() {
				return nil
			}
			text, err := f.readBlob(ctx, h, limit)
			texts[i] = text
			failed.CompareAndSwap(false, err != nil)
			return err
		})
	}
	return texts, group.Wait()
}

// readBlob reads a blob at the pace of the limiter and checks its hash.
func (f *Fetcher) readBlob(ctx context.Context, h config.Hash, limit *rate.Limiter) ([]byte, error) {
	if err := limit.Wait(ctx); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	value, err := f.client.Get(ctx, config.BlobPrefix+string(h))
	if err != nil {
		return nil, err
	}
	if config.HashOf(value.Data) != h {
		return nil, errors.Wrapf(ErrMalformed, "blob %s: content does not match its hash", h.Short())
	}
	return value.Data, nil
}
