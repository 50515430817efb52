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

// maxConcurrentBlobReads bounds the concurrent blob reads of a fetcher.
const maxConcurrentBlobReads = 4

// minMissingForBundles is the number of missing blobs from which on bundles are
// read instead of single blobs.
const minMissingForBundles = 8

// Fetcher follows the manifest and compiles each version. It caches the blobs
// of the last version, and those read for a version that could not be
// completed, so that a change only costs the reads of the blobs it changes. It
// is not safe for concurrent use.
type Fetcher struct {
	client   *Client
	compiler *config.Compiler
	blobs    map[config.Hash][]byte
}

// NewFetcher returns a fetcher that reads through client.
func NewFetcher(client *Client) *Fetcher {
	return &Fetcher{client: client, compiler: config.NewCompiler(), blobs: make(map[config.Hash][]byte)}
}

// FetchResult is the result of one watch of the manifest.
type FetchResult struct {
	// Version is the revision of the manifest that was read, or 0 if it did not
	// change.
	Version uint64
	// Snapshot is the compiled version, or nil if it is unchanged or refused.
	Snapshot *config.Snapshot
	// Refused lists the problems for which the whole version is refused.
	Refused config.Problems
}

// Next waits at most wait for a manifest with a version above after and
// compiles it. It reads at most perSecond blobs per second; 0 means no limit.
// It returns ErrUnavailable, ErrNotFound or ErrMalformed if the source could
// not be read; the caller should retry later.
func (f *Fetcher) Next(ctx context.Context, after uint64, wait time.Duration, perSecond float64) (FetchResult, error) {
	value, err := f.client.Watch(ctx, config.ManifestKey, after, wait)
	if err != nil || value.Revision == 0 {
		return FetchResult{}, err
	}
	result := FetchResult{Version: value.Revision}
	manifest, err := config.ParseManifest(value.Data)
	if err != nil {
		return refusedResult(result, err)
	}
	if err := f.fetchBlobs(ctx, manifest, newBlobLimiter(perSecond)); err != nil {
		return FetchResult{}, err
	}
	result.Snapshot, err = f.compiler.Compile(value.Revision, manifest, f.blobs)
	if err != nil {
		return refusedResult(result, err)
	}
	return result, nil
}

// refusedResult returns a refused result if err is of type Problems, and err
// otherwise.
func refusedResult(r FetchResult, err error) (FetchResult, error) {
	var problems config.Problems
	if errors.As(err, &problems) {
		r.Refused = problems
		return r, nil
	}
	return FetchResult{}, err
}

// newBlobLimiter returns a rate limiter for blob reads. There is no limit if
// perSecond is 0 or less.
func newBlobLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), maxConcurrentBlobReads)
}

// fetchBlobs reads the blobs of the manifest that are not cached. When all of
// them are cached, it evicts those that the manifest does not reference. Blobs
// read before a failure stay cached for the next attempt.
func (f *Fetcher) fetchBlobs(ctx context.Context, m *config.Manifest, limit *rate.Limiter) error {
	hashes := m.Blobs()
	missing := f.missingBlobs(hashes)
	if len(missing) >= minMissingForBundles {
		f.readBundles(ctx, m.Bundles, missing, limit)
		missing = f.missingBlobs(missing)
	}
	contents, err := f.readBlobs(ctx, missing, limit)
	for i, h := range missing {
		if contents[i] != nil {
			f.blobs[h] = contents[i]
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

// missingBlobs returns the hashes whose blobs are not cached.
func (f *Fetcher) missingBlobs(hashes []config.Hash) []config.Hash {
	var missing []config.Hash
	for _, h := range hashes {
		if _, ok := f.blobs[h]; !ok {
			missing = append(missing, h)
		}
	}
	return missing
}

// readBundles reads missing blobs from the bundles. A bundle that cannot be
// read is skipped, since every blob can also be read individually.
func (f *Fetcher) readBundles(ctx context.Context, bundles, missing []config.Hash, limit *rate.Limiter) {
	contents, _ := f.readBlobs(ctx, bundles, limit)
	for _, content := range contents {
		unpacked, err := config.OpenBundle(content)
		if err != nil {
			continue
		}
		for _, h := range missing {
			if blob, ok := unpacked[h]; ok {
				f.blobs[h] = blob
			}
		}
	}
}

// readBlobs returns the blobs in the order of their hashes, with nil for those
// that could not be read. After a failure it starts no further read, but waits
// for those in flight, so that their results are not wasted.
func (f *Fetcher) readBlobs(ctx context.Context, hashes []config.Hash, limit *rate.Limiter) ([][]byte, error) {
	contents := make([][]byte, len(hashes))
	var group errgroup.Group
	var failed atomic.Bool
	group.SetLimit(maxConcurrentBlobReads)
	for i, h := range hashes {
		group.Go(func() error {
			if failed.Load() {
				return nil
			}
			content, err := f.readBlob(ctx, h, limit)
			contents[i] = content
			failed.CompareAndSwap(false, err != nil)
			return err
		})
	}
	return contents, group.Wait()
}

// readBlob reads a blob, subject to the rate limit, and verifies its hash.
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
