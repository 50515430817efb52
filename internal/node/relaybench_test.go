package node

import (
	"fmt"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// largeConfiguration returns a version with the given number of routes of a few
// organisations.
func largeConfiguration(tb testing.TB, version uint64, routes int) *source.Configuration {
	tb.Helper()
	const organisations = 5
	var list []*config.Organisation
	for o := range organisations {
		org := &config.Organisation{
			Name: fmt.Sprintf("org%d.example", o), Groups: map[string]config.Group{"desk": {Service: "desk"}},
			Limits: config.Limits{RequestsPerSecond: 100_000, Concurrency: 10_000},
		}
		for r := range routes / organisations {
			org.Routes = append(org.Routes, config.Route{
				Name: fmt.Sprintf("r-%d-%d", o, r), Path: fmt.Sprintf("/route%d/part%d/", r, r%7), Prefix: true, Group: "desk", Repeatable: true,
				Deadline: config.Duration(time.Second), Target: config.Duration(300 * time.Millisecond), Priority: int(version) % 3, MaxAttempts: 3,
			})
		}
		list = append(list, org)
	}
	s, err := config.FromOrganisations(version, "test", list, config.CallerLimits{})
	if err != nil {
		tb.Fatal(err)
	}
	return &source.Configuration{Version: version, Snapshot: s}
}

// BenchmarkVersionByRelay measures what a proxy does with a version of 1,600 routes that
// it gets from the reader of its availability zone.
func BenchmarkVersionByRelay(b *testing.B) {
	reader := newStoreNode("reader")
	reader.Step(storeStart, Tick{})
	listing := StoreListed{Listing: source.Listing{Revision: 5, Configuration: largeConfiguration(b, 1, 1600)}}
	reader.Step(storeStart, listing)
	packed, err := reader.dist.DeltaFrom("").Pack()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		leaf := newStoreNode("leaf")
		leaf.Step(storeStart, Tick{})
		c, err := leaf.buildFromReply(source.RelayReply{Packed: packed})
		if err != nil {
			b.Fatal(err)
		}
		leaf.Step(storeStart, StoreListed{Listing: source.Listing{Revision: 5, Configuration: c}})
	}
}
