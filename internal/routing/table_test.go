package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/config"
)

// linearLookup is the reference implementation: it tries all routes in order of
// precedence.
func linearLookup(t *Table, org, method, path string) *RouteMatch {
	o, ok := t.organisations[org]
	if !ok {
		return nil
	}
	for _, r := range o.compiledByPrecedence() {
		if slices.Contains(r.match.Route.Methods, method) && r.pattern.Match(path) {
			return &r.match
		}
	}
	return nil
}

var (
	testPaths    = []string{"/", "/a", "/{x}", "/{x...}", "/a/{x}", "/a/b", "/{x}/b", "/a/{x...}", "/b/{y}/c"}
	testRequests = []string{"/", "/a", "/b", "/a/b", "/a/b/c", "/c/b", "/b/a/c", "/b/b/b/b"}
)

func drawSlice(t *rapid.T, org, service string) *config.Slice {
	s := &config.Slice{Organisation: org, Service: service, Groups: map[string]config.Group{"g": {Service: service}}}
	for _, p := range rapid.SliceOfNDistinct(rapid.SampledFrom(testPaths), 1, 5, rapid.ID).Draw(t, "paths") {
		methods := rapid.SampledFrom([][]string{{"GET"}, {"POST"}, {"GET", "POST"}}).Draw(t, "methods")
		s.Routes = append(s.Routes, config.Route{Name: service + p, Methods: methods, Path: p, Group: "g"})
	}
	return s
}

// Each table is built from the one before and must give the same results as a
// linear lookup in a table built from scratch.
func TestIncrementalTableMatchesFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := make(map[string]*config.Slice)
		var table *Table
		for version := range uint64(6) {
			for _, org := range []string{"a", "b", "c"} {
				for _, service := range []string{"s", "t"} {
					switch rapid.IntRange(0, 3).Draw(t, "change") {
					case 0:
						current[org+service] = drawSlice(t, org, service)
					case 1:
						delete(current, org+service)
					}
				}
			}
			var list []*config.Slice
			for _, org := range []string{"as", "at", "bs", "bt", "cs", "ct"} {
				if s := current[org]; s != nil {
					list = append(list, s)
				}
			}
			snapshot := testSnapshot(version, list...)
			table = NewTable(snapshot, table)
			fresh := NewTable(snapshot, nil)
			for _, org := range []string{"a", "b", "c"} {
				for _, method := range []string{"GET", "POST"} {
					for _, path := range testRequests {
						got, known, _ := table.Lookup(org, method, path)
						want := linearLookup(fresh, org, method, path)
						if (got == nil) != (want == nil) || got != nil && got.Route.Name != want.Route.Name {
							t.Fatalf("%s %s %s: got %+v, want %+v", org, method, path, got, want)
						}
						if _, exists := fresh.organisations[org]; exists != known {
							t.Fatalf("organisation %s: known is %v, want %v", org, known, exists)
						}
					}
				}
			}
		}
	})
}

func TestUnchangedOrganisationsAreReused(t *testing.T) {
	is := is.New(t)
	a, b := testSlice("a", "desk"), testSlice("b", "desk")
	first := NewTable(testSnapshot(1, a, b), nil)
	changed := testSlice("b", "desk")
	changed.Limits.Concurrency = 1
	second := NewTable(testSnapshot(2, a, changed), first)
	is.Equal(second.Version, uint64(2))
	is.True(first.organisations["a"] == second.organisations["a"])
	m, _, _ := second.Lookup("b", "GET", "/read")
	is.Equal(m.Limits.Concurrency, 1)
	m, _, _ = first.Lookup("b", "GET", "/read")
	is.Equal(m.Limits.Concurrency, 1000) // a table in use does not change
}

// Size of the fleet in the benchmarks.
const (
	benchInstances     = 770
	benchServices      = 41
	benchOrganisations = 1000
	benchRoutes        = 20
)

func benchSlices() []*config.Slice {
	var list []*config.Slice
	for o := range benchOrganisations {
		for k := range 4 {
			service := fmt.Sprintf("service-%02d", (o+k*7)%benchServices)
			s := &config.Slice{
				Organisation: fmt.Sprintf("org-%04d", o),
				Service:      service,
				Groups:       map[string]config.Group{"g": {Service: service}},
				Limits:       config.Limits{RequestsPerSecond: 1_000_000, Concurrency: 100_000},
			}
			for n := range benchRoutes / 4 {
				s.Routes = append(s.Routes, config.Route{
					Name: fmt.Sprintf("r-%d-%d", k, n), Methods: []string{"GET"}, Group: "g",
					Path: fmt.Sprintf("/s%d/r%d/{id}", k, n), Deadline: config.Duration(time.Second), Repeatable: true,
				})
			}
			list = append(list, s)
		}
	}
	return list
}

func benchRouter() *Router {
	r := New(Config{AvailabilityZone: "z0", MaxAttempts: 3, Seed: 1})
	r.Step(start, SnapshotEnforced{Snapshot: testSnapshot(1, benchSlices()...)})
	var list []Instance
	for i := range benchInstances {
		id := fmt.Sprintf("i-%03d", i)
		list = append(list, Instance{
			ID: id, Service: fmt.Sprintf("service-%02d", i%benchServices),
			AvailabilityZone: fmt.Sprintf("z%d", i/benchServices%7), Address: id, Slots: 10,
		})
	}
	r.Step(start, InstancesChanged{Instances: list})
	return r
}

// BenchmarkRequest measures the arrival of a request together with the end of
// its only attempt.
func BenchmarkRequest(b *testing.B) {
	r := benchRouter()
	orgs := make([]string, benchOrganisations)
	for i := range orgs {
		orgs[i] = fmt.Sprintf("org-%04d", i)
	}
	now := start
	b.ReportAllocs()
	b.ResetTimer()
	for n := range uint64(b.N) {
		now = now.Add(20 * time.Microsecond)
		r.Step(now, Arrived{ID: n, Organisation: orgs[n*7919%benchOrganisations], Method: "GET", Path: "/s3/r4/17"})
		r.Step(now, AttemptEnded{ID: n, Outcome: "answered", Latency: time.Millisecond, Status: 200})
	}
}

// BenchmarkTable measures building the table of a new version, whole or after
// one change, and the first lookup of an organisation, which compiles its
// routes.
func BenchmarkTable(b *testing.B) {
	list := benchSlices()
	first := testSnapshot(1, list...)
	changed := slices.Clone(list)
	one := *list[0]
	one.Limits.Concurrency = 1
	changed[0] = &one
	second := testSnapshot(2, changed...)
	table := NewTable(first, nil)
	for _, c := range []struct {
		name     string
		previous *Table
	}{{"whole", nil}, {"one slice changed", table}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewTable(second, c.previous)
			}
		})
	}
	b.Run("first look-up", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			fresh := *table.organisations["org-0001"]
			fresh.methods = nil
			fresh.lookup("GET", "/s3/r4/17")
		}
	})
}

// BenchmarkInstancesChanged measures replacing the list of instances.
func BenchmarkInstancesChanged(b *testing.B) {
	r := benchRouter()
	var list []Instance
	for _, p := range r.pools {
		for _, i := range p.instances {
			list = append(list, i.Instance)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Step(start, InstancesChanged{Instances: list})
	}
}
