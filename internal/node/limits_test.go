package node

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/source"
)

const (
	// testLimit is the rate limit that backend servers name, in requests per second.
	testLimit = 8
	// minLimitUse is the share of its limit that a backend server must get while work
	// waits.
	minLimitUse = 0.9
	// promptly is the time within which a request that cannot be served is refused.
	promptly = 50 * time.Millisecond
	// limitSeeds is the number of seeds of each scenario.
	limitSeeds = 3
)

// openLoad counts the requests that arrive independently of the answers.
type openLoad struct {
	offered, served, refused, refusedLate int
}

// offer sends requests of one caller of a proxy to a service until the given time, with
// exponentially distributed pauses. They are not repeated.
func (f *crashFleet) offer(p *crashProxy, service int, pause time.Duration, until time.Time, load *openLoad) {
	f.after(time.Duration(f.rng.ExpFloat64()*float64(pause)), func() {
		if f.now.After(until) {
			return
		}
		sent := f.now
		load.offered++
		f.call(p, service, 1<<20+f.rng.Uint64N(1<<40), func(result outcome.Refusal) {
			switch result.Outcome {
			case outcome.Answered:
				load.served++
			case outcome.NotRun:
				load.refused++
				if f.now.Sub(sent) > promptly {
					load.refusedLate++
				}
			}
		})
		f.offer(p, service, pause, until, load)
	})
}

// offerAll sends perSecond requests a second to the service through all proxies.
func (f *crashFleet) offerAll(service, perSecond int, length time.Duration) *openLoad {
	load := &openLoad{}
	for _, p := range f.proxies {
		f.offer(p, service, time.Second*time.Duration(len(f.proxies))/time.Duration(perSecond), f.now.Add(length), load)
	}
	return load
}

// ofService returns the proxies of a service.
func (f *crashFleet) ofService(service int) []*crashProxy {
	var list []*crashProxy
	for _, p := range f.proxies {
		if p.index%crashServices == service {
			list = append(list, p)
		}
	}
	return list
}

func (f *crashFleet) reportLimits(t *testing.T, load *openLoad) {
	o := f.statements
	t.Logf("%d proxies: %+v; worst: %s; %d breaches; %d requests after the announcement of an end, %d late", len(f.proxies), *load, o.worstText, o.breaches, o.afterLeaving, o.late)
}

func (f *crashFleet) checkStatements(t *testing.T, seed uint64) {
	t.Helper()
	if f.statements.breaches > 0 {
		t.Errorf("seed %d: %d windows with more than the limit and %d requests: %s", seed, f.statements.breaches, limitSlack, f.statements.worstText)
	}
	if f.statements.late > 0 {
		t.Errorf("seed %d: %d requests sent to backend servers that had announced their end", seed, f.statements.late)
	}
}

// A backend server that named a limit got as much as before, from all proxies together.
func TestNamedLimitIsKeptInCalmFleet(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 12, 24, 75} {
		f := newCrashFleet(uint64(n), n)
		load := f.offerAll(0, 20*n, 20*time.Second)
		for i, p := range f.ofService(0) {
			if i%3 == 0 {
				f.after(3*time.Second, func() { f.state(p, statement{limited: true, perSecond: testLimit}) })
			}
		}
		f.run(23 * time.Second)
		f.reportLimits(t, load)
		f.checkStatements(t, uint64(n))
		if load.refused > 0 {
			t.Errorf("%d proxies: %d requests refused while others of the service had room", n, load.refused)
		}
	}
}

// Limits are used while work waits, and what cannot be served is refused at once.
func TestNamedLimitsOfAWholeServiceAreUsed(t *testing.T) {
	t.Parallel()
	for _, limit := range []float64{0.5, 2, testLimit, 25} {
		const n, length = 12, 40 * time.Second
		f := newCrashFleet(uint64(100*limit), n)
		servers := f.ofService(0)
		total := limit * float64(len(servers))
		for _, p := range servers {
			f.state(p, statement{limited: true, perSecond: limit})
		}
		load := f.offerAll(0, int(3*total), length)
		f.run(8 * time.Second) // each server has named its limit, also the lowest
		before := f.arrivalsAt(servers)
		const measured = 30 * time.Second
		f.run(measured)
		used := float64(f.arrivalsAt(servers)-before) / (total * measured.Seconds())
		f.run(5 * time.Second)
		f.reportLimits(t, load)
		t.Logf("limit %g: %.3f used", limit, used)
		f.checkStatements(t, uint64(100*limit))
		if used < minLimitUse {
			t.Errorf("limit %g: %.3f of it used, want at least %g", limit, used, minLimitUse)
		}
		if load.refusedLate*100 > load.refused {
			t.Errorf("limit %g: %d of %d refusals later than %v", limit, load.refusedLate, load.refused, promptly)
		}
	}
}

// Callers that are refused together come back one after the other, when a token is free for
// them: they are neither refused again nor left waiting while the limits have room.
func TestCallersComeBackWhenTheLimitsHaveRoom(t *testing.T) {
	t.Parallel()
	const callers, limit = 200, testLimit
	f := newCrashFleet(5, 12)
	for _, p := range f.ofService(0) {
		f.state(p, statement{limited: true, perSecond: limit})
	}
	f.offerAll(0, 40, 3*time.Second) // each server names its limit
	f.run(4 * time.Second)
	served, returns, refusedAgain, began := 0, 0, 0, f.now
	var last time.Time
	for range callers {
		entry, fingerprint := f.proxies[f.rng.IntN(len(f.proxies))], 1<<20+f.rng.Uint64N(1<<40)
		var send func(returned bool)
		send = func(returned bool) {
			f.call(entry, 0, fingerprint, func(result outcome.Refusal) {
				if result.Outcome == outcome.Answered {
					served++
					last = f.now
					return
				}
				returns++
				if returned {
					refusedAgain++
				}
				f.after(result.RetryAfter, func() { send(true) })
			})
		}
		f.after(f.jitter(100*time.Millisecond), func() { send(false) })
	}
	f.run(30 * time.Second)
	t.Logf("%d served within %v, %d returns, %d refused again", served, last.Sub(began), returns, refusedAgain)
	best := time.Duration(float64(callers) / float64(limit*len(f.ofService(0))) * float64(time.Second))
	if served < callers || last.Sub(began) > 2*best {
		t.Errorf("%d of %d served within %v, want all within %v", served, callers, last.Sub(began), 2*best)
	}
	if refusedAgain*10 > returns {
		t.Errorf("%d of %d returns refused again, want at most one in ten", refusedAgain, returns)
	}
}

// arrivalsAt returns the number of requests that the backend servers have got.
func (f *crashFleet) arrivalsAt(proxies []*crashProxy) int {
	n := 0
	for _, p := range proxies {
		n += len(f.statements.server(p.instance()).all)
	}
	return n
}

// changeLimits changes what a backend server of the fleet names, again and again: limits
// that rise, fall, end and return.
func (f *crashFleet) changeLimits(p *crashProxy, until time.Time) {
	f.after(time.Duration(f.rng.ExpFloat64()*float64(4*time.Second)), func() {
		if f.now.After(until) {
			return
		}
		next := p.stated
		if next.limited = f.rng.IntN(4) > 0; next.limited {
			next.perSecond = []float64{0, 0.4, 2, 8, 15.5, 23.4, 60}[f.rng.IntN(7)]
		}
		f.state(p, next)
		f.changeLimits(p, until)
	})
}

// announceEnd has a backend server say that it leaves, now and then before or after the
// store lists it as leaving or not at all, and replaces it.
func (f *crashFleet) announceEnd(p *crashProxy) {
	if !p.backendUp || p.stated.leaving {
		return
	}
	generation := p.backendGeneration
	next := p.stated
	next.leaving = true
	f.state(p, next)
	if f.rng.IntN(3) > 0 {
		f.after(f.jitter(4*time.Second), func() {
			if p.backendGeneration == generation && p.backendUp {
				p.listedLeaving = true
				f.revision++
				f.storeChanged(f.entry(p))
			}
		})
	}
	f.after(4*time.Second+f.jitter(6*time.Second), func() {
		if p.backendGeneration == generation && p.backendUp {
			f.endBackend(p)
		}
	})
}

// lapse removes the entries of some backend servers from the store for a moment.
func (f *crashFleet) lapse(proxies []*crashProxy) {
	f.revision++
	var removed []source.Entry
	for _, p := range proxies {
		removed = append(removed, source.Entry{ID: p.instance(), Revision: f.revision})
	}
	f.storeChanged(removed...)
	f.after(time.Second+f.jitter(time.Second), func() {
		f.revision++
		var restored []source.Entry
		for _, p := range proxies {
			if p.backendUp {
				restored = append(restored, f.entry(p))
			}
		}
		f.storeChanged(restored...)
	})
}

// statementFaults are the kinds of faults beside which statements are judged.
var statementFaults = map[string]func(f *crashFleet, share int){
	"announced end": func(f *crashFleet, share int) {
		for _, p := range f.random(share) {
			f.announceEnd(p)
		}
	},
	"whole service": func(f *crashFleet, _ int) {
		limit := []float64{1, 5, 20}[f.rng.IntN(3)]
		for _, p := range f.ofService(0) {
			f.state(p, statement{limited: true, perSecond: limit, leaving: p.stated.leaving})
		}
	},
	"crashing request": func(f *crashFleet, _ int) { f.sendCrashing(f.now.Add(5 * time.Second)) },
	"lapse":            func(f *crashFleet, share int) { f.lapse(f.random(share)) },
	"lost responses": func(f *crashFleet, _ int) {
		f.statements.lossRate = 0.3
		f.after(3*time.Second, func() { f.statements.lossRate = 0 })
	},
}

func init() {
	maps.Copy(statementFaults, crashFaults)
}

// The bounds hold beside each kind of fault and beside all of them, while limits rise,
// fall, end and return, and responses overtake each other.
func TestStatementsAreHeededBesideFaults(t *testing.T) {
	t.Parallel()
	for _, scenario := range scenariosOf(statementFaults) {
		t.Run(strings.Join(scenario, ", "), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(limitSeeds) {
				n := []int{6, 12, 20}[seed%3]
				f := newCrashFleet(500+seed, n)
				f.statements.delay = 20 * time.Millisecond
				load := f.offerAll(0, 20*n, 50*time.Second)
				until := f.now.Add(45 * time.Second)
				for _, p := range f.ofService(0) {
					f.changeLimits(p, until)
				}
				f.injectFaultsOf(statementFaults, until, []time.Duration{2 * time.Second, 8 * time.Second}[seed%2], scenario...)
				f.run(55 * time.Second)
				f.reportLimits(t, load)
				f.checkStatements(t, 500+seed)
			}
		})
	}
}

// The same seed plays the same run, beside all faults.
func TestSimulatedFleetIsDeterministicPerSeed(t *testing.T) {
	t.Parallel()
	kinds := slices.Sorted(maps.Keys(statementFaults))
	play := func(seed uint64) string {
		f := newCrashFleet(seed, 6)
		f.statements.delay = 20 * time.Millisecond
		f.offerAll(0, 60, 8*time.Second)
		until := f.now.Add(8 * time.Second)
		for _, p := range f.ofService(0) {
			f.changeLimits(p, until)
		}
		f.injectFaultsOf(statementFaults, until, time.Second, kinds...)
		f.run(10 * time.Second)
		return f.statements.trace.String()
	}
	for seed := range uint64(50) {
		first, second := play(seed), play(seed)
		if first == "" || first != second {
			t.Fatalf("seed %d: two runs differ, or nothing arrived", seed)
		}
	}
}

// A proxy that has passed on that a backend server leaves sends it nothing more.
func TestServerThatAnnouncesItsEndGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 12, 75} {
		f := newCrashFleet(uint64(700+n), n)
		load := f.offerAll(0, 20*n, 20*time.Second)
		for i, p := range f.ofService(0) {
			if i%3 == 0 {
				f.after(3*time.Second, func() { f.state(p, statement{leaving: true}) })
			}
		}
		f.run(23 * time.Second)
		f.reportLimits(t, load)
		f.checkStatements(t, uint64(700+n))
		if f.statements.afterLeaving > 0 {
			t.Errorf("%d proxies: %d requests sent by proxies that had passed on the announcement", n, f.statements.afterLeaving)
		}
		if load.refused > 0 {
			t.Errorf("%d proxies: %d requests refused while others of the service had room", n, load.refused)
		}
	}
}
