package config

import (
	"fmt"
	"testing"
)

const benchServices = 41

const benchTemplate = `
[parameters.rate]
type = "integer"
[limits]
requests_per_second = "${rate}"
concurrency = 20
[groups.first]
service = "service-%d"
[groups.second]
service = "service-%d"
[[routes]]
name = "look-up"
methods = ["GET"]
path = "/slots/{rest...}"
group = "first"
deadline = "1s"
repeatable = true
[[routes]]
name = "order"
methods = ["POST"]
path = "/orders"
group = "first"
deadline = "3s"
[[routes]]
name = "stock"
methods = ["GET"]
path = "/stock/{rest...}"
group = "second"
deadline = "500ms"
repeatable = true
`

// benchDirectory returns a directory of n organisations. They share one template
// for each of the 41 services, and each template routes to two services.
func benchDirectory(n int) *Directory {
	d := &Directory{Templates: make(map[string][]byte), Organisations: make(map[string][]byte)}
	for i := range benchServices {
		d.Templates[fmt.Sprintf("template-%d", i)] = fmt.Appendf(nil, benchTemplate, i, (i+1)%benchServices)
	}
	for i := range n {
		d.setRate(i, 10)
	}
	return d
}

func (d *Directory) setRate(i, rate int) {
	d.Organisations[fmt.Sprintf("organisation-%d", i)] = fmt.Appendf(nil, "template = \"template-%d\"\n[parameters]\nrate = %d\n", i%benchServices, rate)
}

// benchVersions packs n organisations before and after a change of one of them.
// The blobs are those of both versions.
func benchVersions(b *testing.B, n int) (first, second *Manifest, blobs map[Hash][]byte) {
	d := benchDirectory(n)
	first, packed, err := d.Pack(nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	d.setRate(7, 11)
	second, blobs, err = d.Pack(first, packed)
	if err != nil {
		b.Fatal(err)
	}
	for h, text := range packed {
		blobs[h] = text
	}
	return first, second, blobs
}

func BenchmarkCompile(b *testing.B) {
	for _, n := range []int{200, 1000, 2000, 4000} {
		first, second, blobs := benchVersions(b, n)
		compile := func(c *Compiler, version uint64, m *Manifest) {
			if _, err := c.Compile(version, m, blobs); err != nil {
				b.Fatal(err)
			}
		}
		b.Run(fmt.Sprintf("%d/first", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				compile(NewCompiler(), 1, first)
			}
			b.ReportMetric(float64(len(first.Encode())), "manifest_B")
		})
		b.Run(fmt.Sprintf("%d/one", n), func(b *testing.B) {
			b.ReportAllocs()
			c := NewCompiler()
			compile(c, 1, first)
			b.ResetTimer()
			for i := range b.N {
				compile(c, uint64(i), []*Manifest{second, first}[i%2])
			}
		})
	}
}

// BenchmarkLargestManifest reports the largest number of organisations whose
// manifest fits into one value of the configuration source.
func BenchmarkLargestManifest(b *testing.B) {
	for range b.N {
		low, high := 100, 20_000
		for low+1 < high {
			middle := (low + high) / 2
			if benchDirectory(middle).worstCaseManifest().checkSize() == nil {
				low = middle
			} else {
				high = middle
			}
		}
		b.ReportMetric(float64(low), "organisations")
	}
}
