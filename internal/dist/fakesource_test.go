package dist

import (
	"fmt"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

const sourceTemplate = `
[parameters.rate]
type = "integer"
min = 1
[limits]
requests_per_second = "${rate}"
concurrency = 5
[groups.main]
service = "SERVICE"
[[routes]]
name = "read"
methods = ["GET"]
path = "/a/{id}"
group = "main"
deadline = "1s"
`

// fakeSource holds the published versions.
type fakeSource struct {
	compiler *config.Compiler
	rates    map[string]int
	manifest *config.Manifest
	blobs    map[config.Hash][]byte
	// outcomes is the reading of each version, in order.
	outcomes []SourceRead
	// roots holds every valid content of each version.
	roots map[uint64][]config.Hash
	down  bool
	// visible is the number of outcomes that readers see while stale is set.
	stale   bool
	visible int
	// torn makes the next reads of a new version fail.
	torn int
	// other is what zone-1 reads under the same version, if set.
	other *config.Snapshot
	// limit bounds the calls in one second, 0 for none. Calls counts them,
	// peak is the highest number in one second.
	limit, calls, inSecond, peak int
	second                       time.Time
	// coldBlobs is the number of blobs that a proxy's first reading reads.
	coldBlobs int
}

// call counts a call and reports whether the source takes it.
func (s *fakeSource) call(now time.Time) bool {
	if now.Sub(s.second) >= time.Second {
		s.second, s.inSecond = now, 0
	}
	s.calls++
	s.inSecond++
	s.peak = max(s.peak, s.inSecond)
	return s.limit == 0 || s.inSecond <= s.limit
}

func newFakeSource() *fakeSource {
	return &fakeSource{
		compiler: config.NewCompiler(),
		rates:    map[string]int{"a-desk": 1, "b-stock": 1, "c-other": 1},
		roots:    make(map[uint64][]config.Hash),
	}
}

func (s *fakeSource) directory() *config.Directory {
	d := &config.Directory{Templates: make(map[string][]byte), Organisations: make(map[string][]byte)}
	for _, service := range []string{"desk", "stock", "other"} {
		d.Templates[service] = []byte(strings.Replace(sourceTemplate, "SERVICE", service, 1))
	}
	for name, rate := range s.rates {
		service := name[2:]
		d.Organisations[name] = fmt.Appendf(nil, "template = %q\n[parameters]\nrate = %d\n", service, rate)
	}
	return d
}

// publish makes a new version in which the organisation has the rate. A rate
// of 0 is invalid: the organisation keeps its previous content.
func (s *fakeSource) publish(organisation string, rate int) uint64 {
	s.rates[organisation] = rate
	manifest, blobs, err := s.directory().Pack(s.manifest, s.blobs)
	if err != nil {
		panic(err)
	}
	s.manifest, s.blobs = manifest, blobs
	return s.put(s.manifest)
}

// publishBad makes a new version that is refused as a whole.
func (s *fakeSource) publishBad() uint64 {
	bad := &config.Manifest{Organisations: make(map[string]config.Entry)}
	for name, entry := range s.manifest.Organisations {
		entry.Parameters, entry.Previous = entry.Template, nil
		bad.Organisations[name] = entry
	}
	return s.put(bad)
}

func (s *fakeSource) put(m *config.Manifest) uint64 {
	version := uint64(len(s.outcomes) + 1)
	read := SourceRead{Version: version}
	snapshot, err := s.compiler.Compile(version, m, s.blobs)
	if err != nil {
		read.Refused = config.Problems{{File: "manifest", Message: err.Error()}}
	} else {
		read.Snapshot = snapshot
		s.roots[version] = append(s.roots[version], snapshot.Root)
	}
	s.outcomes = append(s.outcomes, read)
	return version
}

// published reports whether the snapshot has the content of its version.
func (s *fakeSource) published(got *config.Snapshot) bool {
	for _, root := range s.roots[got.Version] {
		if root == got.Root {
			return true
		}
	}
	return false
}

// latest returns the highest valid version.
func (s *fakeSource) latest() *config.Snapshot {
	for i := len(s.outcomes) - 1; i >= 0; i-- {
		if s.outcomes[i].Snapshot != nil {
			return s.outcomes[i].Snapshot
		}
	}
	return nil
}

// setStale makes readers see the versions of now until it is cleared.
func (s *fakeSource) setStale(stale bool) {
	s.stale = stale
	s.visible = len(s.outcomes)
}

// startWatch calls the source.
func (n *network) startWatch(p *proxy, e WatchSource) {
	p.watch = &watch{
		after:    e.After,
		deadline: n.now.Add(e.Wait),
		rate:     e.Rate,
		admitted: n.source.call(n.now),
	}
}

// pollSource answers the watch of a proxy. The answer of a paused proxy waits
// in its socket.
func (n *network) pollSource(p *proxy) {
	s := n.source
	if p.watch == nil || !p.up {
		return
	}
	if s.down || n.noSource[p.zone] || !p.watch.admitted {
		n.endWatch(p, SourceRead{Err: "down"})
		return
	}
	visible := len(s.outcomes)
	if s.stale {
		visible = s.visible
	}
	if visible == 0 || uint64(visible) <= p.watch.after {
		if !n.now.Before(p.watch.deadline) {
			n.endWatch(p, SourceRead{})
		}
		return
	}
	if s.torn > 0 {
		s.torn--
		n.endWatch(p, SourceRead{Err: "no such key"})
		return
	}
	read := s.outcomes[visible-1]
	if s.other != nil && p.zone == "zone-1" && s.other.Version == read.Version {
		read.Snapshot = s.other
	}
	n.readBlobs(p, read)
}

// readBlobs reads the blobs of a proxy's first version at its rate.
func (n *network) readBlobs(p *proxy, read SourceRead) {
	blobs, rate := n.source.coldBlobs, p.watch.rate
	if blobs == 0 || p.warm {
		n.endWatch(p, read)
		return
	}
	p.warm = true
	p.watch = nil
	took := time.Duration(0)
	if rate > 0 {
		took = time.Duration(float64(blobs) / rate * float64(time.Second))
	}
	refused := 0
	for i := range blobs {
		n.later(took*time.Duration(i)/time.Duration(blobs), p, func(*proxy) []Effect {
			if !n.source.call(n.now) {
				refused++
			}
			return nil
		})
	}
	n.later(took+testTick, p, func(p *proxy) []Effect {
		if refused > 0 {
			p.warm = false
			return p.d.Step(n.now, SourceRead{Err: "too many calls"})
		}
		return p.d.Step(n.now, read)
	})
}

func (n *network) endWatch(p *proxy, read SourceRead) {
	p.watch = nil
	fetch := testTick/10 + time.Duration(n.rng.Int64N(int64(n.delay)))
	n.later(fetch, p, func(p *proxy) []Effect { return p.d.Step(n.now, read) })
}
