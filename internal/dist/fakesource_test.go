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

// fakeSource is a configuration source that keeps every published version.
type fakeSource struct {
	compiler *config.Compiler
	rates    map[string]int
	manifest *config.Manifest
	blobs    map[config.Hash][]byte
	// outcomes holds the result of reading each version, in order.
	outcomes []SourceRead
	// roots holds the roots of all valid contents of each version.
	roots map[uint64][]config.Hash
	down  bool
	// visible is the number of outcomes that readers see while frozen is
	// set.
	frozen  bool
	visible int
	// failingReads is the number of reads of a new version that fail next.
	failingReads int
	// conflicting, if set, is the content that zone-1 reads instead under
	// the same version.
	conflicting *config.Snapshot
	// limit is the maximum number of calls per second, 0 for none. calls
	// counts all calls, peak is the highest number in one second.
	limit, calls, callsInSecond, peak int
	secondStart                       time.Time
	// coldBlobs is the number of blobs that a proxy fetches for its first
	// version.
	coldBlobs int
}

// call counts a call and reports whether it is within the limit.
func (s *fakeSource) call(now time.Time) bool {
	if now.Sub(s.secondStart) >= time.Second {
		s.secondStart, s.callsInSecond = now, 0
	}
	s.calls++
	s.callsInSecond++
	s.peak = max(s.peak, s.callsInSecond)
	return s.limit == 0 || s.callsInSecond <= s.limit
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

// publish adds a version in which the organisation has the given rate. A rate
// of 0 is invalid: the organisation then keeps its previous content.
func (s *fakeSource) publish(organisation string, rate int) uint64 {
	s.rates[organisation] = rate
	manifest, blobs, err := s.directory().Pack(s.manifest, s.blobs)
	if err != nil {
		panic(err)
	}
	s.manifest, s.blobs = manifest, blobs
	return s.addVersion(s.manifest)
}

// publishInvalid adds a version that is refused as a whole.
func (s *fakeSource) publishInvalid() uint64 {
	invalid := &config.Manifest{Organisations: make(map[string]config.Entry)}
	for name, entry := range s.manifest.Organisations {
		entry.Parameters, entry.Previous = entry.Template, nil
		invalid.Organisations[name] = entry
	}
	return s.addVersion(invalid)
}

func (s *fakeSource) addVersion(m *config.Manifest) uint64 {
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

// isPublished reports whether the snapshot has content that was published under
// its version.
func (s *fakeSource) isPublished(got *config.Snapshot) bool {
	for _, root := range s.roots[got.Version] {
		if root == got.Root {
			return true
		}
	}
	return false
}

// latest returns the highest valid version, nil if there is none.
func (s *fakeSource) latest() *config.Snapshot {
	for i := len(s.outcomes) - 1; i >= 0; i-- {
		if s.outcomes[i].Snapshot != nil {
			return s.outcomes[i].Snapshot
		}
	}
	return nil
}

// setFrozen limits what readers see to the versions published so far, or lifts
// that limit.
func (s *fakeSource) setFrozen(frozen bool) {
	s.frozen = frozen
	s.visible = len(s.outcomes)
}

// startWatch registers the watch of a proxy and counts its call.
func (n *network) startWatch(p *proxy, e WatchSource) {
	p.watch = &watch{
		after:    e.After,
		deadline: n.now.Add(e.Wait),
		rate:     e.Rate,
		admitted: n.source.call(n.now),
	}
}

// pollSource answers the watch of a proxy if there is a result. The result
// reaches a paused proxy after its pause.
func (n *network) pollSource(p *proxy) {
	s := n.source
	if p.watch == nil || !p.up {
		return
	}
	if s.down || n.sourceCutOff[p.zone] || !p.watch.admitted {
		n.endWatch(p, SourceRead{Err: "down"})
		return
	}
	visible := len(s.outcomes)
	if s.frozen {
		visible = s.visible
	}
	if visible == 0 || uint64(visible) <= p.watch.after {
		if !n.now.Before(p.watch.deadline) {
			n.endWatch(p, SourceRead{})
		}
		return
	}
	if s.failingReads > 0 {
		s.failingReads--
		n.endWatch(p, SourceRead{Err: "no such key"})
		return
	}
	read := s.outcomes[visible-1]
	if s.conflicting != nil && p.zone == "zone-1" && s.conflicting.Version == read.Version {
		read.Snapshot = s.conflicting
	}
	n.readBlobs(p, read)
}

// readBlobs fetches the blobs of a proxy's first version at the rate of its
// watch.
func (n *network) readBlobs(p *proxy, read SourceRead) {
	blobs, rate := n.source.coldBlobs, p.watch.rate
	if blobs == 0 || p.blobsRead {
		n.endWatch(p, read)
		return
	}
	p.blobsRead = true
	p.watch = nil
	took := time.Duration(0)
	if rate > 0 {
		took = time.Duration(float64(blobs) / rate * float64(time.Second))
	}
	refused := 0
	for i := range blobs {
		n.schedule(took*time.Duration(i)/time.Duration(blobs), p, func(*proxy) []Effect {
			if !n.source.call(n.now) {
				refused++
			}
			return nil
		})
	}
	n.schedule(took+testTick, p, func(p *proxy) []Effect {
		if refused > 0 {
			p.blobsRead = false
			return p.d.Step(n.now, SourceRead{Err: "too many calls"})
		}
		return p.d.Step(n.now, read)
	})
}

func (n *network) endWatch(p *proxy, read SourceRead) {
	p.watch = nil
	fetch := testTick/10 + time.Duration(n.rng.Int64N(int64(n.delay)))
	n.schedule(fetch, p, func(p *proxy) []Effect { return p.d.Step(n.now, read) })
}
