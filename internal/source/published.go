package source

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
)

// ReadPublished reads the current manifest, its bundles and all its blobs. It
// returns nil if the source has no manifest.
func ReadPublished(ctx context.Context, client *Client) (*config.Manifest, map[config.Hash][]byte, error) {
	value, err := client.Get(ctx, config.ManifestKey)
	if errors.Is(err, ErrNotFound) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	manifest, err := config.ParseManifest(value.Data)
	if err != nil {
		return nil, nil, err
	}
	blobs := make(map[config.Hash][]byte)
	for _, h := range slices.Concat(manifest.Bundles, manifest.Blobs()) {
		if _, ok := blobs[h]; ok {
			continue
		}
		blob, err := client.Get(ctx, config.BlobPrefix+string(h))
		if err != nil {
			return nil, nil, err
		}
		blobs[h] = blob.Data
		if unpacked, err := config.OpenBundle(blob.Data); err == nil {
			maps.Copy(blobs, unpacked)
		}
	}
	return manifest, blobs, nil
}
