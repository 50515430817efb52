package dist

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

const (
	testTick           = 100 * time.Millisecond
	testGossipInterval = time.Second
	testForgetAfter    = 6 * time.Second
	testWatchWait      = 5 * time.Second
	testPullTimeout    = 2 * time.Second
	testListInterval   = 10 * time.Second
)

// proxy is one simulated instance with its membership view.
type proxy struct {
	id, zone    string
	services    []string
	naive       bool
	d           *Dist
	incarnation uint64
	up          bool
	// pausedUntil is the end of a pause; no event is delivered before it.
	pausedUntil  time.Time
	record       member.Record
	view         map[string]observation
	enforced     *config.Snapshot
	watch        *watch
	pollSchedule *source.PollSchedule
	listAt       time.Time
	readyAt      time.Time
	violations   int
	// blobsRead is set once this incarnation has fetched the blobs of a
	// version.
	blobsRead bool
	bytes     int
}

type observation struct {
	record member.Record
	seenAt time.Time
}

type watch struct {
	after    uint64
	deadline time.Time
	rate     float64
	// admitted reports that the call was within the limit of the source.
	admitted bool
}

// network simulates a fleet in virtual time.
type network struct {
	fail       func(format string, args ...any)
	rng        *rand.Rand
	now        time.Time
	nextGossip time.Time
	proxies    []*proxy
	byID       map[string]*proxy
	source     *fakeSource
	queue      deliveries
	seq        int
	// loss and duplication are the probabilities that a message is lost or
	// sent twice; delay bounds the random part of its latency.
	loss, duplication float64
	delay             time.Duration
	// partition maps availability zones to network partitions.
	partition map[string]int
	// sourceCutOff holds the zones that cannot reach the source.
	sourceCutOff map[string]bool
	// sharedView gives all proxies one common view, which is cheaper to
	// simulate.
	sharedView bool
	instances  []source.Instance
	// minVersion is the lowest version that a restarted proxy may enforce.
	minVersion uint64
}

func newNetwork(seed uint64, zones, perZone int, fail func(string, ...any)) *network {
	n := &network{
		fail:         fail,
		rng:          rand.New(rand.NewPCG(seed, 7)),
		now:          time.Unix(1_000_000, 0),
		byID:         make(map[string]*proxy),
		source:       newFakeSource(),
		delay:        2 * time.Millisecond,
		partition:    make(map[string]int),
		sourceCutOff: make(map[string]bool),
	}
	scopes := [][]string{{"desk"}, {"stock"}, {"desk", "stock"}, {"other"}}
	for z := range zones {
		for i := range perZone {
			p := &proxy{
				id:       fmt.Sprintf("p-%d-%d", z, i),
				zone:     fmt.Sprintf("zone-%d", z),
				services: scopes[(z+i)%len(scopes)],
			}
			n.proxies = append(n.proxies, p)
			n.byID[p.id] = p
			n.instances = append(n.instances, source.Instance{ID: p.id, AvailabilityZone: p.zone, State: source.InstanceLive})
		}
	}
	for _, p := range n.proxies {
		n.start(p)
	}
	return n
}

// start starts a new incarnation of the proxy with empty state.
func (n *network) start(p *proxy) {
	p.incarnation++
	p.up = true
	p.pausedUntil = time.Time{}
	p.enforced = nil
	p.watch = nil
	p.blobsRead = false
	p.view = make(map[string]observation)
	p.pollSchedule = source.NewPollSchedule(testListInterval, len(n.proxies), n.rng.Uint64())
	p.listAt = n.now.Add(p.pollSchedule.InitialDelay())
	p.readyAt = time.Time{}
	p.record = member.Record{
		ID: p.id, Incarnation: p.incarnation, AvailabilityZone: p.zone,
		Service: p.services[0], Calls: p.services[1:], PeerAddress: p.id,
	}
	p.d = New(Config{
		ID: p.id, AvailabilityZone: p.zone, Services: p.services, Naive: p.naive,
		WatchWait: testWatchWait, PullTimeout: testPullTimeout,
		BackoffMin: 50 * time.Millisecond, BackoffMax: 5 * time.Second,
		Seed: n.rng.Uint64(),
	})
}

func (n *network) reachable(a, b *proxy) bool {
	return a.up && b.up && n.partition[a.zone] == n.partition[b.zone]
}

// run advances virtual time by d.
func (n *network) run(d time.Duration) {
	n.runWithTick(testTick, d)
}

func (n *network) runWithTick(tick, d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		next := n.now.Add(tick)
		for len(n.queue) > 0 && !n.queue[0].at.After(next) {
			n.deliver(heap.Pop(&n.queue).(delivery))
		}
		n.now = next
		if !n.now.Before(n.nextGossip) {
			n.nextGossip = n.now.Add(testGossipInterval)
			n.gossip()
		}
		for _, p := range n.proxies {
			n.pollSource(p)
			n.readList(p)
			n.step(p, Tick{})
		}
	}
}

func (n *network) step(p *proxy, e Event) {
	if p.up && !p.pausedUntil.After(n.now) {
		n.applyEffects(p, p.d.Step(n.now, e))
	}
}

// readList reads the platform's list when it is due. The simulated list
// contains every instance.
func (n *network) readList(p *proxy) {
	if !p.up || p.pausedUntil.After(n.now) || p.listAt.After(n.now) {
		return
	}
	if !n.source.call(n.now) {
		p.listAt = n.now.Add(p.pollSchedule.FailureDelay())
		return
	}
	p.listAt = n.now.Add(p.pollSchedule.NextDelay(len(n.proxies)))
	n.step(p, InstancesListed{Instances: n.instances})
}

// gossip exchanges records between proxies that can reach each other.
func (n *network) gossip() {
	if n.sharedView {
		n.gossipShared()
		return
	}
	for _, p := range n.proxies {
		if !p.up || p.pausedUntil.After(n.now) {
			continue
		}
		for _, q := range n.proxies {
			if q != p && n.reachable(p, q) && !q.pausedUntil.After(n.now) && n.rng.Float64() >= n.loss {
				p.view[q.id] = observation{record: q.record, seenAt: n.now}
			}
		}
		records := []member.Record{p.record}
		for id, s := range p.view {
			if n.now.Sub(s.seenAt) > testForgetAfter {
				delete(p.view, id)
				continue
			}
			records = append(records, s.record)
		}
		sortByID(records)
		n.step(p, MembershipChanged{Records: records})
	}
}

func sortByID(records []member.Record) {
	slices.SortFunc(records, func(a, b member.Record) int { return cmp.Compare(a.ID, b.ID) })
}

func (n *network) applyEffects(p *proxy, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Announce:
			a := roundTripJSON(p, e.Announcement)
			n.send(p, n.byID[e.To], func(to *proxy) []Effect { return to.d.Step(n.now, Announced{a}) })
		case Pull:
			n.pull(p, e)
		case WatchSource:
			n.startWatch(p, e)
		case StopSource:
			p.watch = nil
		case Enforce:
			n.enforce(p, e.Snapshot)
		case HeadChanged:
			p.record.Version, p.record.Root = e.Head.Version, e.Head.Root
			p.record.Ready, p.record.SourceFailing = e.Ready, e.SourceFailing
		case BecameReady:
			p.readyAt = n.now
		case VersionRefused:
			p.record.Refused = e.Version
		case ProtocolViolation:
			p.violations++
		}
	}
}

// enforce checks the invariants for a snapshot that is put in force.
func (n *network) enforce(p *proxy, s *config.Snapshot) {
	if p.enforced != nil && s.Version < p.enforced.Version {
		n.fail("%s went back from version %d to %d", p.id, p.enforced.Version, s.Version)
	}
	if p.enforced != nil && s.Version == p.enforced.Version && s.Root != p.enforced.Root {
		n.fail("%s changed the content of version %d", p.id, s.Version)
	}
	if p.enforced == nil && s.Version < n.minVersion {
		n.fail("%s enforces version %d after a restart, below version %d that was in force everywhere", p.id, s.Version, n.minVersion)
	}
	if err := s.Consistent(); err != nil {
		n.fail("%s enforces an inconsistent version %d: %v", p.id, s.Version, err)
	}
	if !s.Complete(config.NewScope(p.services...)) {
		n.fail("%s enforces an incomplete version %d", p.id, s.Version)
	}
	if !n.source.isPublished(s) {
		n.fail("%s enforces content that was not published as version %d", p.id, s.Version)
	}
	p.enforced = s
}
