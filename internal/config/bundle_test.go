package config

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBundlesContainEveryBlobThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blobs := make(map[Hash][]byte)
		for n := range rapid.IntRange(0, 12).Draw(t, "blobs") {
			size := rapid.IntRange(0, MaxBlobBytes/3).Draw(t, "size")
			filler := rapid.SampledFrom([]string{"a", "\"", "é"}).Draw(t, "filler")
			text := append([]byte(fmt.Sprintf("# %d\n", n)), bytes.Repeat([]byte(filler), size/len(filler)/2)...)
			blobs[HashOf(text)] = text
		}
		opened := make(map[Hash][]byte)
		for _, data := range encodeBundles(blobs) {
			if len(data) > MaxBlobBytes {
				t.Fatalf("bundle of %d bytes exceeds the maximum", len(data))
			}
			part, err := OpenBundle(data)
			if err != nil {
				t.Fatal(err)
			}
			maps.Copy(opened, part)
		}
		if !maps.EqualFunc(blobs, opened, bytes.Equal) {
			t.Fatalf("decoded blobs differ: %d encoded, %d decoded", len(blobs), len(opened))
		}
	})
}

func TestOpenBundleRejectsCorruptedBundle(t *testing.T) {
	is := is.New(t)
	h := HashOf([]byte("good"))
	_, err := OpenBundle(fmt.Appendf(nil, `{"%s":"bad"}`, h))
	is.True(errors.Is(err, ErrMalformedBundle))
	_, err = OpenBundle([]byte("["))
	is.True(errors.Is(err, ErrMalformedBundle))
}

func TestPackReusesBundlesWhileFewBlobsAreUnbundled(t *testing.T) {
	is := is.New(t)
	organisations := make(map[string]string)
	for n := range 2 * maxUnbundled {
		organisations[fmt.Sprintf("org-%d", n)] = fmt.Sprintf("rate = %d", 1+n)
	}
	first, blobs, err := directory(organisations).Pack(nil, nil)
	is.NoErr(err)
	is.Equal(len(first.Bundles), 1)

	organisations["org-0"] = "rate = 99"
	second, blobs, err := directory(organisations).Pack(first, blobs)
	is.NoErr(err)
	is.Equal(second.Bundles, first.Bundles)

	for n := range maxUnbundled + 1 {
		organisations[fmt.Sprintf("org-%d", n)] = fmt.Sprintf("rate = %d # changed", 1+n)
	}
	third, _, err := directory(organisations).Pack(second, blobs)
	is.NoErr(err)
	is.True(third.Bundles[0] != first.Bundles[0])
}
