package forward

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The options are those that reading the header for each name finds.
func TestConnectionOptionsAreThoseOfTheHeader(t *testing.T) {
	named := func(h http.Header, name string) bool {
		for _, line := range h["Connection"] {
			for option := range strings.SplitSeq(line, ",") {
				if strings.EqualFold(strings.TrimSpace(option), name) {
					return true
				}
			}
		}
		return false
	}
	names := []string{"Close", "Keep-Alive", "X-A", "X-B", "Te"}
	rapid.Check(t, func(t *rapid.T) {
		option := rapid.SampledFrom([]string{"close", "Keep-Alive", " x-a", "X-b ", "te", "", "X-A"})
		h := http.Header{}
		for range rapid.IntRange(0, 3).Draw(t, "lines") {
			h["Connection"] = append(h["Connection"], strings.Join(rapid.SliceOfN(option, 1, 4).Draw(t, "options"), ","))
		}
		options := connectionOptionsOf(h)
		for _, name := range names {
			if options.contains(name) != named(h, name) {
				t.Fatalf("%q: %s", h, name)
			}
		}
	})
}

// BenchmarkConnectionOptions copies a header of very many fields that lists very many options.
func BenchmarkConnectionOptions(b *testing.B) {
	in := http.Header{"Connection": {strings.Repeat("a,", 4<<10)}}
	for i := range 1600 {
		in["X"+strings.Repeat("y", i%50)+string(rune('a'+i%26))+strings.Repeat("z", i/50)] = []string{""}
	}
	d := NativeDialect()
	for b.Loop() {
		d.copyEndToEndHeaders(http.Header{}, in)
	}
}
