package source

import (
	"context"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
)

// Published reads the manifest in the source and all its blobs. It returns nil
// if there is none.
func Published(ctx context.Context, client *Client) (*config.Manifest, map[config.Hash][]byte, error) {
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
	for _, h := range manifest.Blobs() {
		blob, err := client.Get(ctx, config.BlobPrefix+string(h))
		if err != nil {
			return nil, nil, err
		}
		blobs[h] = blob.Data
	}
	return manifest, blobs, nil
}
