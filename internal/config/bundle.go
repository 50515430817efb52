package config

import (
	"encoding/json"
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// ErrBundle marks a bundle that cannot be read.
var ErrBundle = errors.New("malformed bundle")

const (
	// maxBundles bounds the bundles of one manifest.
	maxBundles = 256
	// maxUnbundled is the number of blobs outside the bundles from which
	// Pack makes new ones.
	maxUnbundled = 32
	// bundleEntryOverhead bounds the bytes of an entry besides its text.
	bundleEntryOverhead = 48
)

// encodeBundles puts the texts of many blobs into few values of the source, so
// that a reader without memory needs few reads. Blobs that are not valid UTF-8
// are left out.
func encodeBundles(blobs map[Hash][]byte) [][]byte {
	var out [][]byte
	next := make(map[Hash]string)
	size := 0
	flush := func() {
		if len(next) > 0 {
			out = append(out, encodeBundle(next))
		}
		next = make(map[Hash]string)
		size = 0
	}
	for _, h := range slices.Sorted(maps.Keys(blobs)) {
		if !utf8.Valid(blobs[h]) {
			continue
		}
		text := string(blobs[h])
		grown := size + escapedLen(text) + bundleEntryOverhead
		if grown > MaxBlobBytes {
			flush()
			grown = escapedLen(text) + bundleEntryOverhead
		}
		if grown <= MaxBlobBytes {
			next[h] = text
			size = grown
		}
	}
	flush()
	return out
}

func encodeBundle(texts map[Hash]string) []byte {
	text, err := json.Marshal(texts)
	if err != nil {
		panic(err) // the type holds only strings
	}
	return text
}

// escapedLen returns the length of s as JSON.
func escapedLen(s string) int {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // s is a string
	}
	return len(text)
}

// OpenBundle returns the blobs in a bundle. It returns ErrBundle if the text
// is malformed or a blob does not match its hash.
func OpenBundle(text []byte) (map[Hash][]byte, error) {
	var texts map[Hash]string
	if err := json.Unmarshal(text, &texts); err != nil {
		return nil, errors.Wrapf(ErrBundle, "%v", err)
	}
	blobs := make(map[Hash][]byte, len(texts))
	for h, t := range texts {
		if HashOf([]byte(t)) != h {
			return nil, errors.Wrapf(ErrBundle, "blob %s does not match its hash", h.Short())
		}
		blobs[h] = []byte(t)
	}
	return blobs, nil
}

// bundle names the bundles of the manifest. Those of the previous manifest are
// kept while few blobs are outside them.
func (m *Manifest) bundle(blobs map[Hash][]byte, previous *Manifest, previousBlobs map[Hash][]byte) {
	if previous != nil && keepBundles(blobs, previous.Bundles, previousBlobs) {
		m.Bundles = previous.Bundles
		for _, h := range m.Bundles {
			blobs[h] = previousBlobs[h]
		}
		return
	}
	for _, text := range encodeBundles(blobs) {
		h := HashOf(text)
		m.Bundles = append(m.Bundles, h)
		blobs[h] = text
	}
}

// keepBundles reports whether the bundles hold nearly all blobs.
func keepBundles(blobs map[Hash][]byte, bundles []Hash, texts map[Hash][]byte) bool {
	held := make(map[Hash]bool)
	for _, h := range bundles {
		opened, err := OpenBundle(texts[h])
		if err != nil {
			return false
		}
		for blob := range opened {
			held[blob] = true
		}
	}
	outside := 0
	for h := range blobs {
		if !held[h] {
			outside++
		}
	}
	return outside <= maxUnbundled
}
