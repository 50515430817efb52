package node

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/outcome"
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
}

func (p *crashProxy) service() string  { return fmt.Sprintf("s-%d", p.index%crashServices) }
func (p *crashProxy) instance() string { return fmt.Sprintf("i-%d-%d", p.index, p.backendGeneration) }
func (p *crashProxy) address() string  { return strconv.Itoa(p.index) }

// crashFleet simulates proxies that follow one store, in virtual time. One request
// ends every backend server that runs it.
type crashFleet struct {
	now      time.Time
	timers   timerQueue
	seq      int
	rng      *rand.Rand
	proxies  []*crashProxy
	revision uint64
	nextID   uint64
	routes   map[uint64]func(routing.Effect)
	runs     map[uint64]func(admission.Effect)
	replies  map[uint64]func(quarantine.Message)
	// messages counts the messages about crashes between proxies.
	messages int

	// ended counts the backend servers that the crashing request ended, late its
	// sends by undisturbed proxies later than contactTime after the third of them.
	ended, late int
	thirdAt     time.Time
	// Counts of the innocent requests: all of them, served ones, and those for
	// which the last answer was a refusal of a suspect.
	innocent, served, quarantined int
}

func newCrashFleet(seed uint64, n int) *crashFleet {
	f := &crashFleet{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), revision: 1,
		routes: make(map[uint64]func(routing.Effect)), runs: make(map[uint64]func(admission.Effect)),
		replies: make(map[uint64]func(quarantine.Message)),
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

func (f *crashFleet) after(d time.Duration, callback func()) {
	f.seq++
	heap.Push(&f.timers, timer{at: f.now.Add(d), seq: f.seq, callback: callback})
}

func (f *crashFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.timers) > 0 && !f.timers[0].at.After(end) {
		next := heap.Pop(&f.timers).(timer)
		f.now = next.at
		next.callback()
	}
	f.now = end
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
			Routing:        routing.Config{AvailabilityZone: "z", MaxAttempts: 3, Seed: f.rng.Uint64()},
			Admission:      admission.Config{QueueLength: 50},
			Listed:         true,
			BackendAddress: p.address(),
		})
		f.step(p, Tick{})
		f.step(p, StoreListed{Listing: source.Listing{Revision: f.revision, Configuration: crashConfiguration(), Instances: f.entries()}})
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
	s, err := config.FromOrganisations(1, "test", []*config.Organisation{org})
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
	return source.Entry{ID: p.instance(), Revision: f.revision, Instance: &source.Instance{
		ID: p.instance(), Service: p.service(), AvailabilityZone: "z", State: source.InstanceLive, Address: p.address(),
		PeerAddress: p.address(), BackendAddress: p.address(), Slots: crashSlots,
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
		}
	}
	f.stepPeers(p, out)
}

// request is one request of a caller; done reports what became of it.
type crashRequest struct {
	*crashFleet
	id          uint64
	entry       *crashProxy
	service     int
	fingerprint uint64
	generation  int
	done        func(outcome.Outcome, outcome.Reason)
}

// call sends a request to a proxy.
func (f *crashFleet) call(entry *crashProxy, service int, fingerprint uint64, done func(outcome.Outcome, outcome.Reason)) {
	f.nextID++
	ended := false
	r := &crashRequest{f, f.nextID, entry, service, fingerprint, entry.generation, func(o outcome.Outcome, reason outcome.Reason) {
		if !ended {
			ended = true
			done(o, reason)
		}
	}}
	if !entry.up {
		f.after(callTimeout/10, func() { r.done(outcome.NotRun, outcome.ConnectFailed) })
		return
	}
	f.after(callTimeout, func() { r.done(outcome.Unknown, outcome.DeadlineExpired) })
	f.deliver(entry, func() {
		f.routes[r.id] = r.routed
		f.step(entry, routing.Arrived{
			ID: r.id, Organisation: "a.example", Method: "GET", Path: fmt.Sprintf("/s-%d/x", service),
			Budget: 2 * time.Second, Fingerprint: fingerprint,
		})
	})
}

func (r *crashRequest) routed(effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Refuse:
		delete(r.routes, r.id)
		r.done(e.Refusal.Outcome, e.Refusal.Reason)
	case routing.Send:
		i, _ := strconv.Atoi(e.Address)
		target := r.proxies[i]
		r.send(r.entry, target, func() { r.admit(target, e) }, func() { r.ended(outcome.Unknown, outcome.ConnectionLost) })
	}
}

func (r *crashRequest) admit(target *crashProxy, s routing.Send) {
	r.nextID++
	run := r.nextID
	r.runs[run] = func(effect admission.Effect) {
		switch e := effect.(type) {
		case admission.Refuse:
			delete(r.runs, run)
			r.reply(target, e.Refusal.Outcome, e.Refusal.Reason)
		case admission.Run:
			delete(r.runs, run)
			r.execute(target, run, s.Instance)
		}
	}
	r.step(target, r.arrival(run, s))
}

// execute runs the request on the backend server beside the proxy.
func (r *crashRequest) execute(p *crashProxy, run uint64, instance string) {
	if !p.backendUp || instance != p.instance() {
		reason := outcome.OtherInstance
		if !p.backendUp {
			reason = outcome.ConnectFailed
		}
		r.after(time.Millisecond, func() {
			r.step(p, admission.Ended{ID: run, Outcome: outcome.NotRun, Reason: reason})
			r.reply(p, outcome.NotRun, reason)
		})
		return
	}
	backend, proxy := p.backendGeneration, p.generation
	p.running[run] = func(ended bool) {
		delete(p.running, run)
		if p.generation != proxy {
			return
		}
		r.deliver(p, func() {
			o, reason := outcome.Answered, outcome.Reason("")
			if ended {
				o, reason = outcome.Unknown, outcome.ConnectionLost
				if !p.backendUp {
					reason = outcome.BackendServerCrashed
				}
			}
			r.step(p, admission.Ended{ID: run, Outcome: o, Reason: reason})
			r.reply(p, o, reason)
		})
	}
	if r.fingerprint == crashingFingerprint {
		r.recordCrash()
		r.endBackend(p)
		return
	}
	r.after(20*time.Millisecond+r.jitter(80*time.Millisecond), func() {
		if end, ok := p.running[run]; ok && p.backendGeneration == backend && p.backendUp {
			end(false)
		}
	})
}

// recordCrash counts an arrival of the crashing request at a backend server.
func (r *crashRequest) recordCrash() {
	r.crashFleet.ended++
	if r.crashFleet.ended == 3 {
		r.thirdAt = r.now
	}
	if r.crashFleet.ended > 3 && r.now.Sub(r.thirdAt) > contactTime && r.inTouch(r.entry) {
		r.late++
	}
}

// inTouch reports whether a proxy was undisturbed for contactTime.
func (f *crashFleet) inTouch(p *crashProxy) bool {
	return p.up && !p.cut && !p.paused && f.now.Sub(p.undisturbedSince) >= contactTime
}

// endBackend ends a backend server with its runs and replaces it.
func (f *crashFleet) endBackend(p *crashProxy) {
	p.backendUp = false
	ids := make([]uint64, 0, len(p.running))
	for id := range p.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		end := p.running[id]
		f.after(time.Millisecond+f.jitter(3*time.Millisecond), func() { end(true) })
	}
	f.after(backendReturn, func() { f.replaceBackend(p) })
}

func (f *crashFleet) replaceBackend(p *crashProxy) {
	f.revision++
	old := source.Entry{ID: p.instance(), Revision: f.revision}
	p.backendGeneration++
	p.backendUp = true
	f.storeChanged(old, f.entry(p))
}

func (r *crashRequest) reply(target *crashProxy, o outcome.Outcome, reason outcome.Reason) {
	r.send(target, r.entry, func() { r.ended(o, reason) }, func() { r.ended(outcome.Unknown, outcome.ConnectionLost) })
}

// ended reports the end of an attempt to the entry proxy.
func (r *crashRequest) ended(o outcome.Outcome, reason outcome.Reason) {
	if r.entry.generation != r.generation || !r.entry.up {
		delete(r.routes, r.id)
		r.done(outcome.Unknown, outcome.ConnectionLost)
		return
	}
	e := routing.AttemptEnded{ID: r.id, Outcome: o, Reason: reason, Latency: time.Millisecond}
	if o == outcome.Answered {
		delete(r.routes, r.id)
		e.Status = 200
		r.step(r.entry, e)
		r.done(o, "")
		return
	}
	r.deliver(r.entry, func() { r.step(r.entry, e) })
}

// killProxy ends a proxy process and starts it again.
func (f *crashFleet) killProxy(p *crashProxy) {
	p.cut = false
	f.startProxy(p, proxyReturn+f.jitter(proxyReturn))
}

// pauseProxy stops a proxy process for d, like a suspended machine.
func (f *crashFleet) pauseProxy(p *crashProxy, d time.Duration) {
	if !p.up || p.paused {
		return
	}
	p.paused = true
	generation := p.generation
	f.after(d, func() {
		if p.generation != generation {
			return
		}
		p.paused, p.undisturbedSince = false, f.now
		pending := p.pending
		p.pending = nil
		for _, callback := range pending {
			callback()
		}
	})
}

// cutProxies separates proxies from the others for d.
func (f *crashFleet) cutProxies(d time.Duration, proxies ...*crashProxy) {
	for _, p := range proxies {
		p.cut = true
	}
	f.after(d, func() {
		for _, p := range proxies {
			p.cut, p.undisturbedSince = false, f.now
		}
	})
}

// redeploy replaces a backend server without a drain; its runs are lost.
func (f *crashFleet) redeploy(p *crashProxy) {
	if p.backendUp {
		f.endBackend(p)
	}
}

// random returns n different proxies.
func (f *crashFleet) random(n int) []*crashProxy {
	list := slices.Clone(f.proxies)
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// crashFaults are the kinds of faults that injectFaults draws from.
var crashFaults = map[string]func(f *crashFleet, share int){
	"kill": func(f *crashFleet, share int) {
		for _, p := range f.random(share) {
			f.killProxy(p)
		}
	},
	"cut": func(f *crashFleet, share int) {
		f.cutProxies(time.Second+f.jitter(5*time.Second), f.random(share)...)
	},
	"pause": func(f *crashFleet, share int) {
		for _, p := range f.random(share) {
			f.pauseProxy(p, time.Second+f.jitter(3*time.Second))
		}
	},
	"restart of the fleet": func(f *crashFleet, _ int) {
		for _, p := range f.proxies {
			f.killProxy(p)
		}
	},
	"redeployment": func(f *crashFleet, share int) {
		for _, p := range f.random(share) {
			f.redeploy(p)
		}
	},
}

// injectFaults injects faults of the named kinds until the given time, one every
// pause on average, each on up to a quarter of the proxies.
func (f *crashFleet) injectFaults(until time.Time, pause time.Duration, kinds ...string) {
	f.after(time.Duration(f.rng.ExpFloat64()*float64(pause)), func() {
		if f.now.After(until) {
			return
		}
		crashFaults[kinds[f.rng.IntN(len(kinds))]](f, 1+f.rng.IntN(max(1, len(f.proxies)/4)))
		f.injectFaults(until, pause, kinds...)
	})
}

// sendCrashing sends the crashing request to random proxies until the given time.
func (f *crashFleet) sendCrashing(until time.Time) {
	if f.now.After(until) {
		return
	}
	entry := f.proxies[f.rng.IntN(len(f.proxies))]
	f.call(entry, 0, crashingFingerprint, func(outcome.Outcome, outcome.Reason) {})
	f.after(250*time.Millisecond+f.jitter(750*time.Millisecond), func() { f.sendCrashing(until) })
}

// sendInnocent sends requests of one caller of a proxy until the given time. A third
// of them share few fingerprints, the others have one of their own.
func (f *crashFleet) sendInnocent(p *crashProxy, until time.Time) {
	if f.now.After(until) {
		return
	}
	fingerprint := 1<<20 + f.rng.Uint64N(1<<40)
	if f.rng.IntN(3) == 0 {
		fingerprint = 100 + f.rng.Uint64N(popularTargets)
	}
	service := f.rng.IntN(crashServices)
	f.innocent++
	var attempt func(tries int)
	attempt = func(tries int) {
		f.call(p, service, fingerprint, func(o outcome.Outcome, reason outcome.Reason) {
			switch {
			case o == outcome.Answered:
				f.served++
			case tries > 0:
				f.after(20*time.Millisecond, func() { attempt(tries - 1) })
				return
			case reason == outcome.Quarantined:
				f.quarantined++
			}
			f.after(time.Duration(f.rng.ExpFloat64()*float64(callPause)), func() { f.sendInnocent(p, until) })
		})
	}
	attempt(callRetries)
}

// start starts the crashing request and the given number of innocent callers a proxy.
func (f *crashFleet) start(length time.Duration, callers int) {
	until := f.now.Add(length)
	for _, p := range f.proxies {
		for range callers {
			f.after(f.jitter(time.Second), func() { f.sendInnocent(p, until) })
		}
	}
	f.after(time.Second, func() { f.sendCrashing(until) })
}

func (f *crashFleet) report(t *testing.T, n int) {
	t.Logf("%d proxies: %d backend servers ended, %d sends late; %d of %d innocent requests served, %d refused as suspects; %d messages",
		n, f.ended, f.late, f.served, f.innocent, f.quarantined, f.messages)
}

// arrival returns the event by which the request reaches the proxy beside the
// backend server.
func (r *crashRequest) arrival(run uint64, s routing.Send) admission.Arrived {
	return admission.Arrived{
		ID: run, Repeatable: s.Repeatable, Fingerprint: r.fingerprint, Deadline: s.Deadline, Instance: s.Instance,
		Target: s.Target, Route: s.Route, Patience: s.MaxWaitShare, KnownCrashes: s.KnownCrashes,
	}
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
