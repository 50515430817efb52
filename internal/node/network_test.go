package node

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// Parameters of the simulated network.
const (
	testTickInterval = 100 * time.Millisecond
	// testLatency is the mean latency of a message in one direction.
	testLatency = 2 * time.Millisecond
	// testTimeout is the time after which an unanswered call fails.
	testTimeout = 2 * time.Second
	// testListDelay is the time from the start of a proxy until it receives the
	// list of instances.
	testListDelay = 2 * time.Second
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simProxy is one proxy of the simulated network.
type simProxy struct {
	id   string
	node *Node
	// generation changes with each start and kill. Callbacks of an earlier
	// process are ignored.
	generation int
	dead       bool
	paused     bool
	// pendingEvents holds the events of the current pause.
	pendingEvents  []Event
	highestVersion uint64
	// lastChecked is the last snapshot whose invariants were checked.
	lastChecked *config.Snapshot
	trace       []TraceLine
	// outputs holds the formatted effects of each recorded event.
	outputs []string
	// watch is the pending watch of the source, nil if none.
	watch *dist.WatchSource
}

// network simulates a fleet with a fake source in virtual time.
type network struct {
	virtualTime
	rng     *rand.Rand
	proxies map[string]*simProxy
	order   []string
	zones   map[string]string
	// replyHandlers holds, by call ID, the function that returns a reply to the
	// caller.
	replyHandlers map[uint64]func(any)
	nextID        uint64
	// blocked reports whether all messages between two proxies are lost.
	blocked func(a, b string) bool
	// lossRate is the probability that a message is lost.
	lossRate   float64
	sourceDown bool
	published  *config.Snapshot
	// stale is what the source returns instead of published, unless it is nil.
	stale *config.Snapshot
	// violation describes the last violation of an invariant.
	violation string
	// recording enables recording the events and effects of every proxy.
	recording bool
}

func newNetwork(seed uint64, n, zones int) *network {
	w := &network{
		virtualTime:   virtualTime{now: epoch},
		rng:           rand.New(rand.NewPCG(seed, 0)),
		proxies:       make(map[string]*simProxy),
		zones:         make(map[string]string),
		replyHandlers: make(map[uint64]func(any)),
		blocked:       func(string, string) bool { return false },
	}
	for i := range n {
		id := fmt.Sprintf("desk-%d", i)
		w.order = append(w.order, id)
		w.zones[id] = fmt.Sprintf("zone-%d", i%zones)
		w.proxies[id] = &simProxy{id: id}
		w.start(id)
	}
	return w
}

// start starts a new process of a proxy, without any state of the previous one.
func (w *network) start(id string) {
	p := w.proxies[id]
	p.generation++
	*p = simProxy{id: id, generation: p.generation}
	p.node = New(w.config(id))
	generation := p.generation
	var tick func()
	tick = func() {
		if p.generation != generation || p.dead {
			return
		}
		w.feed(p, Tick{})
		w.after(testTickInterval, tick)
	}
	w.after(time.Duration(w.rng.Int64N(int64(testTickInterval))), tick)
	w.after(testListDelay, func() {
		if p.generation == generation {
			w.feed(p, member.Listed{Instances: w.list()})
		}
	})
}

func (w *network) config(id string) Config {
	seed := w.rng.Uint64()
	return Config{
		Member: member.Config{
			Self: member.Record{
				ID: id, Incarnation: uint64(w.now.UnixNano()), AvailabilityZone: w.zones[id],
				Service: "desk", PeerAddress: w.peerAddress(id), ForwardAddress: "127.0.0.1:2", Slots: 10,
			},
			Interval: time.Second, SuspectAfter: 3 * time.Second, ForgetAfter: 5 * time.Minute, Seed: seed,
		},
		Dist: dist.Config{
			ID: id, AvailabilityZone: w.zones[id], Services: []string{"desk"}, WatchWait: 30 * time.Second,
			PullTimeout: 5 * time.Second, BackoffMin: 50 * time.Millisecond, BackoffMax: 5 * time.Second, Seed: seed,
		},
		Routing:   routing.Config{AvailabilityZone: w.zones[id], MaxAttempts: 3, Seed: seed},
		Admission: admission.Config{Slots: 10, QueueLength: 10},
	}
}

// peerAddress returns the peer address of a proxy, and proxyAt the proxy of a peer
// address.
func (w *network) peerAddress(id string) string {
	return fmt.Sprintf("127.0.0.1:%d", 1+slices.Index(w.order, id))
}

func (w *network) proxyAt(address string) string {
	return w.order[slices.IndexFunc(w.order, func(id string) bool { return w.peerAddress(id) == address })]
}

func (w *network) list() []source.Instance {
	var list []source.Instance
	for _, id := range w.order {
		list = append(list, source.Instance{
			ID: id, Service: "desk", AvailabilityZone: w.zones[id], State: source.InstanceLive, Address: id,
		})
	}
	return list
}

// feed steps a proxy with an event. A paused proxy gets the event when it resumes,
// a dead one never.
func (w *network) feed(p *simProxy, e Event) {
	switch {
	case p.dead:
	case p.paused:
		p.pendingEvents = append(p.pendingEvents, e)
	default:
		w.step(p, e)
	}
}

func (w *network) step(p *simProxy, e Event) {
	if w.recording {
		if line, err := EncodeEvent(w.now, e); err == nil {
			p.trace = append(p.trace, line)
		}
	}
	effects := p.node.Step(w.now, e)
	if w.recording {
		p.outputs = append(p.outputs, fmt.Sprintf("%+v", effects))
	}
	w.check(p)
	for _, effect := range effects.Member {
		w.applyMemberEffect(p, effect)
	}
	for _, effect := range effects.Dist {
		w.applyDistEffect(p, effect)
	}
	for _, effect := range effects.Quarantine {
		w.applyQuarantineEffect(p, effect)
	}
}

// check records a violation if the version of the proxy has decreased or its new
// snapshot is inconsistent.
func (w *network) check(p *simProxy) {
	version := p.node.Head().Version
	if version < p.highestVersion {
		w.violation = fmt.Sprintf("%s went back from version %d to %d", p.id, p.highestVersion, version)
	}
	p.highestVersion = max(p.highestVersion, version)
	if s := p.node.dist.EnforcedSnapshot(); s != p.lastChecked {
		p.lastChecked = s
		if err := s.Consistent(); err != nil {
			w.violation = fmt.Sprintf("%s: %v", p.id, err)
		}
	}
}

// call delivers a message to a proxy and its reply to the sender, or reports a
// failure after testTimeout.
func (w *network) call(from, to string, deliver func(call uint64) Event, answered func(any), failed func()) {
	w.nextID++
	id, target, generation := w.nextID, w.proxies[to], w.proxies[from].generation
	done := false
	finish := func(f func()) {
		if done || w.proxies[from].generation != generation {
			return
		}
		done = true
		f()
	}
	w.replyHandlers[id] = func(reply any) {
		if w.lost(from, to) {
			return
		}
		w.after(w.latency(), func() { finish(func() { answered(reply) }) })
	}
	w.after(testTimeout, func() { finish(failed) })
	if !w.lost(from, to) {
		w.after(w.latency(), func() { w.feed(target, deliver(id)) })
	}
}

func (w *network) lost(a, b string) bool {
	return w.blocked(a, b) || w.rng.Float64() < w.lossRate
}

func (w *network) latency() time.Duration {
	return testLatency/2 + time.Duration(w.rng.Int64N(int64(testLatency)))
}

func (w *network) applyMemberEffect(p *simProxy, effect member.Effect) {
	switch e := effect.(type) {
	case member.Send:
		w.call(p.id, e.To,
			func(call uint64) Event { return member.Received{Call: call, Message: e.Message} },
			func(reply any) { w.feed(p, member.Answered{Call: e.Call, From: e.To, Message: reply.(member.Gossip)}) },
			func() { w.feed(p, member.Failed{Call: e.Call, ID: e.To}) })
	case member.Reply:
		w.replyHandlers[e.Call](e.Message)
	}
}

func (w *network) applyQuarantineEffect(p *simProxy, effect quarantine.Effect) {
	switch e := effect.(type) {
	case quarantine.Send:
		w.call(p.id, w.proxyAt(e.Address),
			func(call uint64) Event { return quarantine.Received{Call: call, Message: e.Message} },
			func(reply any) { w.feed(p, quarantine.Replied{Send: e, Reply: reply.(quarantine.Message)}) },
			func() { w.feed(p, quarantine.Failed{Send: e}) })
	case quarantine.Reply:
		w.replyHandlers[e.Call](e.Message)
	}
}

func (w *network) applyDistEffect(p *simProxy, effect dist.Effect) {
	switch e := effect.(type) {
	case dist.Pull:
		w.call(p.id, e.To,
			func(call uint64) Event { return dist.PullReceived{Call: call, Request: e.Request} },
			func(reply any) { w.feed(p, dist.Pulled{From: e.To, Reply: reply.(dist.PullReply)}) },
			func() { w.feed(p, dist.Pulled{From: e.To, Err: "timeout"}) })
	case dist.ReplyPull:
		w.replyHandlers[e.Call](e.Reply)
	case dist.Announce:
		if !w.lost(p.id, e.To) {
			w.after(w.latency(), func() { w.feed(w.proxies[e.To], dist.Announced{Announcement: e.Announcement}) })
		}
	case dist.WatchSource:
		p.watch = &e
		w.after(e.Wait, func() { w.endWatch(p, &e) })
		w.answerWatches()
	case dist.StopSource:
		p.watch = nil
	}
}

func (w *network) endWatch(p *simProxy, watch *dist.WatchSource) {
	if p.watch == watch {
		p.watch = nil
		w.feed(p, dist.SourceRead{})
	}
}

// publish makes a version available at the source.
func (w *network) publish(s *config.Snapshot) {
	w.published = s
	w.answerWatches()
}

// answerWatches answers the pending watches if the source has a newer version or
// is down.
func (w *network) answerWatches() {
	visible := w.published
	if w.stale != nil {
		visible = w.stale
	}
	for _, id := range w.order {
		p := w.proxies[id]
		watch := p.watch
		switch {
		case watch == nil:
		case w.sourceDown:
			p.watch = nil
			w.after(w.latency(), func() { w.feed(p, dist.SourceRead{Err: "down"}) })
		case visible != nil && visible.Version > watch.After:
			p.watch = nil
			w.after(w.latency(), func() { w.feed(p, dist.SourceRead{Version: visible.Version, Snapshot: visible}) })
		}
	}
}

func (w *network) kill(id string) {
	w.proxies[id].dead = true
	w.proxies[id].generation++
	w.proxies[id].watch = nil
}

func (w *network) pause(id string) { w.proxies[id].paused = true }

// resume continues a paused proxy and feeds it the events of the pause.
func (w *network) resume(id string) {
	p := w.proxies[id]
	p.paused = false
	pendingEvents := p.pendingEvents
	p.pendingEvents = nil
	for _, e := range pendingEvents {
		w.feed(p, e)
	}
}

// converged reports whether all running proxies have the version in force.
func (w *network) converged(version uint64) bool {
	return !slices.ContainsFunc(w.order, func(id string) bool {
		p := w.proxies[id]
		return !p.dead && !p.paused && p.node.Head().Version != version
	})
}

// snapshot compiles a version in which the organisation has the given rate limit.
func snapshot(version uint64, rate int) *config.Snapshot {
	d := &config.Directory{
		Templates: map[string][]byte{"std": []byte(`
[parameters.rate]
type = "integer"
[limits]
requests_per_second = "${rate}"
concurrency = 5
[groups.desk]
service = "desk"
[[routes]]
name = "read"
methods = ["GET"]
path = "/a/{id}"
group = "desk"
deadline = "1s"
`)},
		Organisations: map[string][]byte{"acme": fmt.Appendf(nil, "template = \"std\"\n[parameters]\nrate = %d\n", rate)},
	}
	manifest, blobs, err := d.Pack(nil, nil)
	if err != nil {
		panic(err)
	}
	s, err := config.NewCompiler().Compile(version, manifest, blobs)
	if err != nil {
		panic(err)
	}
	return s
}

// sameOutput compares formatted effects, ignoring the values of pointers.
func sameOutput(a, b string) bool {
	return pointerPattern.ReplaceAllString(a, "") == pointerPattern.ReplaceAllString(b, "")
}

var pointerPattern = regexp.MustCompile(`0x[0-9a-f]+`)
