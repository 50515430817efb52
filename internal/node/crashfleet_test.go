package node

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// Parameters of the simulated fleet.
const (
	// crashServices is the number of services; instances are assigned to them in
	// turn.
	crashServices = 2
	crashSlots    = 8
	// backendReturn is the time after which an ended backend server is replaced.
	backendReturn = 1500 * time.Millisecond
	// storeDelay is the time until a change of the store is known to a proxy.
	storeDelay = 300 * time.Millisecond
	// proxyReturn is the time after which a killed proxy is started again.
	proxyReturn = 800 * time.Millisecond
	// contactTime is the time for which a proxy must be undisturbed until the
	// bound on sends applies to it.
	contactTime = 3 * time.Second
	// callPause is the mean pause between two requests of an innocent caller.
	callPause = 40 * time.Millisecond
	// callTimeout is the time after which a caller gives up.
	callTimeout = 3 * time.Second
	// callRetries is how often an innocent caller repeats a request that failed.
	callRetries = 2
	// crashingFingerprint is the fingerprint of the crashing request.
	crashingFingerprint = 77
	// popularTargets is the number of fingerprints shared by a third of the
	// innocent requests.
	popularTargets = 5
)

// crashProxy is one machine of the fleet: a proxy and its backend server.
type crashProxy struct {
	index      int
	node       *Node
	generation int
	up, cut    bool
	paused     bool
	pending    []func()
	// undisturbedSince is the end of the last disturbance of the proxy.
	undisturbedSince time.Time

	backendUp         bool
	backendGeneration int
	running           map[uint64]func(ended bool)
	// stated is what the backend server states in its responses.
	stated statement
	// coldUntil is the end of its warm-up.
	coldUntil time.Time
	// listedLeaving means that the store lists the backend server as leaving.
	listedLeaving bool
}

func (p *crashProxy) service() string  { return fmt.Sprintf("s-%d", p.index%crashServices) }
func (p *crashProxy) instance() string { return fmt.Sprintf("i-%d-%d", p.index, p.backendGeneration) }
func (p *crashProxy) address() string  { return strconv.Itoa(p.index) }

// crashFleet simulates proxies that follow one store, in virtual time. One request
// ends every backend server that runs it.
type crashFleet struct {
	virtualTime
	rng      *rand.Rand
	proxies  []*crashProxy
	revision uint64
	nextID   uint64
	routes   map[uint64]func(routing.Effect)
	runs     map[uint64]func(admission.Effect)
	replies  map[uint64]func(quarantine.Message)
	// messages counts the messages about crashes between proxies.
	messages int

	// ending is how a backend server ends under the crashing request.
	ending ending
	// ended counts the backend servers that the crashing request ended, late its
	// sends by undisturbed proxies later than contactTime after the third of them.
	ended, late int
	thirdAt     time.Time
	// Counts of the innocent requests: all of them, served ones, and those for
	// which the last answer was a refusal of a suspect.
	innocent, served, quarantined int
	// statements observes the requests to backend servers that state something about
	// themselves.
	statements *statementObserver
	// warmUp is the warm-up that all services name, zones the number of availability
	// zones, one if it is 0.
	warmUp config.ServiceLimits
	zones  int
	// listDelay is the longest time from the start of a proxy until it has the content of
	// the store.
	listDelay time.Duration
}

// ending is how a backend server ends under the crashing request. The zero value ends it
// at once.
type ending struct {
	// runFor is how long it runs the request, endsAfter the time from then until it
	// ends. drops means that it closes the connection of the request in between, and
	// serves others, and answers that it answers the request in between.
	runFor, endsAfter time.Duration
	drops, answers    bool
}

func newCrashFleet(seed uint64, n int, options ...func(*crashFleet)) *crashFleet {
	f := &crashFleet{
		virtualTime: virtualTime{now: epoch}, rng: rand.New(rand.NewPCG(seed, 1)), revision: 1,
		routes: make(map[uint64]func(routing.Effect)), runs: make(map[uint64]func(admission.Effect)),
		replies: make(map[uint64]func(quarantine.Message)), statements: newStatementObserver(),
	}
	for _, option := range options {
		option(f)
	}
	for i := range n {
		f.proxies = append(f.proxies, &crashProxy{index: i, backendUp: true, running: make(map[uint64]func(bool))})
	}
	for _, p := range f.proxies {
		f.startProxy(p, 0)
	}
	f.run(2 * time.Second)
	return f
}

// jitter returns a random time of up to d.
func (f *crashFleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

func (f *crashFleet) startProxy(p *crashProxy, delay time.Duration) {
	p.up = false
	p.generation++
	generation := p.generation
	f.after(delay, func() {
		if p.generation != generation {
			return
		}
		p.up, p.paused, p.pending = true, false, nil
		p.undisturbedSince = f.now
		p.node = New(Config{
			Member: member.Config{Self: member.Record{
				ID: fmt.Sprintf("p-%d", p.index), Incarnation: uint64(f.now.UnixNano()), Service: p.service(), PeerAddress: p.address(),
			}, Interval: time.Second},
			Dist:           dist.Config{ID: fmt.Sprintf("p-%d", p.index), Followed: true, Seed: f.rng.Uint64()},
			Routing:        routing.Config{AvailabilityZone: f.zone(p), MaxAttempts: 3, Seed: f.rng.Uint64(), ColdTolerance: coldTolerance},
			Admission:      admission.Config{Slots: crashSlots, QueueLength: 50, MinRetryAfter: 100 * time.Millisecond, ColdTolerance: coldTolerance},
			Listed:         true,
			BackendAddress: p.address(),
		})
		f.step(p, Tick{})
		f.afterDelay(f.listDelay, func() {
			if p.generation == generation {
				f.step(p, StoreListed{Listing: source.Listing{Revision: f.revision, Configuration: f.configuration(), Instances: f.entries()}})
			}
		})
		f.tick(p, generation)
	})
}

func (f *crashFleet) tick(p *crashProxy, generation int) {
	f.after(testTickInterval/2+f.jitter(testTickInterval), func() {
		if p.generation != generation || !p.up {
			return
		}
		if !p.paused {
			f.step(p, Tick{})
		}
		f.tick(p, generation)
	})
}

// configuration returns the only version, with the warm-up of the services.
func (f *crashFleet) configuration() *source.Configuration {
	c := crashConfiguration()
	services := make(map[string]config.ServiceLimits)
	for i := range crashServices {
		services[fmt.Sprintf("s-%d", i)] = f.warmUp
	}
	c.Snapshot = c.Snapshot.WithServices(services)
	return c
}

func crashConfiguration() *source.Configuration {
	org := &config.Organisation{Name: "a.example", Groups: map[string]config.Group{}, Limits: config.Limits{RequestsPerSecond: 100_000, Concurrency: 10_000}}
	for i := range crashServices {
		service := fmt.Sprintf("s-%d", i)
		org.Groups[service] = config.Group{Service: service}
		org.Routes = append(org.Routes, config.Route{
			Name: service, Path: "/" + service + "/", Prefix: true, Group: service, Repeatable: true,
			Deadline: config.Duration(2 * time.Second), Target: config.Duration(300 * time.Millisecond),
		})
	}
	s, err := config.FromOrganisations(1, "test", []*config.Organisation{org}, config.CallerLimits{})
	if err != nil {
		panic(err)
	}
	return &source.Configuration{Version: 1, Snapshot: s}
}

func (f *crashFleet) entries() []source.Entry {
	var list []source.Entry
	for _, p := range f.proxies {
		if p.backendUp {
			list = append(list, f.entry(p))
		}
	}
	return list
}

func (f *crashFleet) entry(p *crashProxy) source.Entry {
	state := source.InstanceLive
	if p.listedLeaving {
		state = source.InstanceLeaving
	}
	return source.Entry{ID: p.instance(), Revision: f.revision, Instance: &source.Instance{
		ID: p.instance(), Service: p.service(), AvailabilityZone: f.zone(p), State: state, Address: p.address(),
		PeerAddress: p.address(), BackendAddress: p.address(), Slots: crashSlots, WarmUpLeft: max(0, p.coldUntil.Sub(f.now)),
	}}
}

// storeChanged tells every proxy that reaches the store of changed entries.
func (f *crashFleet) storeChanged(entries ...source.Entry) {
	revision := f.revision
	for _, p := range f.proxies {
		generation := p.generation
		f.after(storeDelay/2+f.jitter(storeDelay/2), func() {
			if p.generation == generation {
				f.deliver(p, func() {
					f.step(p, StoreChanged{Changes: source.Changes{Revision: revision, Instances: entries}})
				})
			}
		})
	}
}

// deliver calls back if the process runs, now or at the end of its pause.
func (f *crashFleet) deliver(p *crashProxy, callback func()) {
	switch {
	case !p.up:
	case p.paused:
		p.pending = append(p.pending, callback)
	default:
		callback()
	}
}

// send delivers a message between two proxies, or calls lost once its sender
// notices that it cannot be delivered.
func (f *crashFleet) send(from, to *crashProxy, callback, lost func()) {
	generation := to.generation
	f.after(time.Millisecond+f.jitter(2*time.Millisecond), func() {
		switch {
		case from != to && (from.cut != to.cut):
			f.after(500*time.Millisecond, lost)
		case !to.up || to.generation != generation:
			lost()
		default:
			f.deliver(to, callback)
		}
	})
}

func (f *crashFleet) step(p *crashProxy, e Event) {
	if !p.up {
		return
	}
	out := p.node.Step(f.now, e)
	for _, effect := range out.Routing {
		switch effect := effect.(type) {
		case routing.Send:
			f.routes[effect.ID](effect)
		case routing.Refuse:
			f.routes[effect.ID](effect)
		}
	}
	for _, effect := range out.Admission {
		switch effect := effect.(type) {
		case admission.Run:
			f.runs[effect.ID](effect)
		case admission.Refuse:
			f.runs[effect.ID](effect)
		case admission.WakeAt:
			f.tickAdmission(p, effect.At)
		case admission.CheckWarmUp:
			f.checkWarmUp(p)
		}
	}
	f.stepPeers(p, out)
}

// tickAdmission ticks admission at the given time.
func (f *crashFleet) tickAdmission(p *crashProxy, at time.Time) {
	generation := p.generation
	f.after(at.Sub(f.now), func() {
		if p.generation == generation {
			f.deliver(p, func() { f.step(p, admission.Tick{}) })
		}
	})
}

// stepPeers carries out the messages between proxies.
func (f *crashFleet) stepPeers(p *crashProxy, out Effects) {
	for _, effect := range out.Quarantine {
		switch e := effect.(type) {
		case quarantine.Send:
			f.messages++
			f.exchange(p, e)
		case quarantine.Reply:
			f.replies[e.Call](e.Message)
		}
	}
}

// exchange delivers a message to another proxy and its reply to the sender.
func (f *crashFleet) exchange(from *crashProxy, s quarantine.Send) {
	i, _ := strconv.Atoi(s.Address)
	to := f.proxies[i]
	f.nextID++
	call, generation, done := f.nextID, from.generation, false
	finish := func(e quarantine.Event) {
		if !done && from.generation == generation {
			done = true
			f.deliver(from, func() { f.step(from, e) })
		}
	}
	f.after(500*time.Millisecond, func() { finish(quarantine.Failed{Send: s}) })
	f.replies[call] = func(m quarantine.Message) {
		delete(f.replies, call)
		f.send(to, from, func() { finish(quarantine.Replied{Send: s, Reply: m}) }, func() {})
	}
	f.send(from, to, func() { f.step(to, quarantine.Received{Call: call, Message: s.Message}) }, func() { finish(quarantine.Failed{Send: s}) })
}
