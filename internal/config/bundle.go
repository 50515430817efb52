package config

import (
	"encoding/json"
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// ErrMalformedBundle is returned for a bundle that cannot be decoded or holds a
// blob that does not match its hash.
var ErrMalformedBundle = errors.New("malformed bundle")

const (
	// maxBundles is the maximum number of bundles in one manifest.
	maxBundles = 256
	// maxUnbundled is the maximum number of blobs outside the published bundles
	// for which Pack reuses these bundles; above it, Pack writes new ones.
	maxUnbundled = 32
	// bundleEntryOverheadBytes is an upper bound on what an entry adds to the
	// length of its encoded text: the quoted hash and the separators.
	bundleEntryOverheadBytes = 48
)

// encodeBundles packs blobs into bundles of at most MaxBlobBytes, so that a
// reader with an empty cache needs few reads. It omits blobs that are not valid
// UTF-8 and blobs that do not fit into a bundle.
func encodeBundles(blobs map[Hash][]byte) [][]byte {
	var out [][]byte
	pending := make(map[Hash]string)
	size := 0
	flush := func() {
		if len(pending) > 0 {
			out = append(out, encodeBundle(pending))
		}
		pending = make(map[Hash]string)
		size = 0
	}
	for _, h := range slices.Sorted(maps.Keys(blobs)) {
		if !utf8.Valid(blobs[h]) {
			continue
		}
		text := string(blobs[h])
		newSize := size + escapedLen(text) + bundleEntryOverheadBytes
		if newSize > MaxBlobBytes {
			flush()
			newSize = escapedLen(text) + bundleEntryOverheadBytes
		}
		if newSize <= MaxBlobBytes {
			pending[h] = text
			size = newSize
		}
	}
	flush()
	return out
}

func encodeBundle(blobs map[Hash]string) []byte {
	data, err := json.Marshal(blobs)
	if err != nil {
		panic(err) // the type holds only strings
	}
	return data
}

// escapedLen returns the length of s encoded as a JSON string, quotes included.
func escapedLen(s string) int {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string can always be encoded
	}
	return len(data)
}

// OpenBundle decodes a bundle into its blobs. It returns ErrMalformedBundle if
// the data is malformed or a blob does not match its hash.
func OpenBundle(data []byte) (map[Hash][]byte, error) {
	var encoded map[Hash]string
	if err := json.Unmarshal(data, &encoded); err != nil {
		return nil, errors.Wrapf(ErrMalformedBundle, "%v", err)
	}
	blobs := make(map[Hash][]byte, len(encoded))
	for h, text := range encoded {
		if HashOf([]byte(text)) != h {
			return nil, errors.Wrapf(ErrMalformedBundle, "blob %s does not match its hash", h.Short())
		}
		blobs[h] = []byte(text)
	}
	return blobs, nil
}

// addBundles adds bundles of the blobs to the manifest and to blobs. It reuses
// the bundles of the published manifest while few blobs are outside them.
func (m *Manifest) addBundles(blobs map[Hash][]byte, published *Manifest, publishedBlobs map[Hash][]byte) {
	if published != nil && canReuseBundles(blobs, published.Bundles, publishedBlobs) {
		m.Bundles = published.Bundles
		for _, h := range m.Bundles {
			blobs[h] = publishedBlobs[h]
		}
		return
	}
	for _, data := range encodeBundles(blobs) {
		h := HashOf(data)
		m.Bundles = append(m.Bundles, h)
		blobs[h] = data
	}
}

// canReuseBundles reports whether all bundles can be decoded and at most
// maxUnbundled blobs are outside them.
func canReuseBundles(blobs map[Hash][]byte, bundles []Hash, bundleBlobs map[Hash][]byte) bool {
	bundled := make(map[Hash]bool)
	for _, h := range bundles {
		opened, err := OpenBundle(bundleBlobs[h])
		if err != nil {
			return false
		}
		for blob := range opened {
			bundled[blob] = true
		}
	}
	unbundled := 0
	for h := range blobs {
		if !bundled[h] {
			unbundled++
		}
	}
	return unbundled <= maxUnbundled
}
