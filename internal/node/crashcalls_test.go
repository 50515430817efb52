package node

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// crashRequest is one request of a caller; done reports what became of it.
type crashRequest struct {
	*crashFleet
	id          uint64
	entry       *crashProxy
	service     int
	fingerprint uint64
	generation  int
	// sentAt is when the caller sent the request.
	sentAt time.Time
	done   func(outcome.Refusal)
}

// call sends a request to a proxy. The result has the outcome Answered if it was served.
func (f *crashFleet) call(entry *crashProxy, service int, fingerprint uint64, done func(outcome.Refusal)) {
	f.nextID++
	ended := false
	r := &crashRequest{f, f.nextID, entry, service, fingerprint, entry.generation, f.now, func(result outcome.Refusal) {
		if !ended {
			ended = true
			done(result)
		}
	}}
	if !entry.up {
		f.after(callTimeout/10, func() { r.done(outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}) })
		return
	}
	f.after(callTimeout, func() { r.done(outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired}) })
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
		r.done(e.Refusal)
	case routing.Send:
		i, _ := strconv.Atoi(e.Address)
		target := r.proxies[i]
		r.send(r.entry, target, func() { r.admit(target, e) }, func() { r.ended(lostResult()) })
	}
}

func (r *crashRequest) admit(target *crashProxy, s routing.Send) {
	r.nextID++
	run := r.nextID
	r.runs[run] = func(effect admission.Effect) {
		switch e := effect.(type) {
		case admission.Refuse:
			delete(r.runs, run)
			r.reply(target, attemptResult{Refusal: e.Refusal})
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
			r.reply(p, attemptResult{Refusal: outcome.Refusal{Outcome: outcome.NotRun, Reason: reason}})
		})
		return
	}
	backend := p.backendGeneration
	r.statements.arrived(r, p)
	p.running[run] = r.respond(p, run)
	if r.fingerprint == crashingFingerprint {
		r.recordSend()
		r.crash(p, run)
		return
	}
	work := 20*time.Millisecond + r.jitter(80*time.Millisecond)
	if r.now.Before(p.coldUntil) {
		work *= 2
	}
	r.after(work, func() {
		if end, ok := p.running[run]; ok && p.backendGeneration == backend && p.backendUp {
			end(false)
		}
	})
}

// crash ends the backend server that runs the crashing request, as told by f.ending.
func (r *crashRequest) crash(p *crashProxy, run uint64) {
	backend := p.backendGeneration
	end := func() {
		if p.backendUp && p.backendGeneration == backend {
			r.recordCrash()
			r.endBackend(p)
		}
	}
	if r.ending == (ending{}) {
		end()
		return
	}
	r.after(r.ending.runFor, func() {
		if respond, ok := p.running[run]; ok && (r.ending.drops || r.ending.answers) {
			respond(r.ending.drops)
		}
		r.after(r.ending.endsAfter, end)
	})
}

// respond returns the function that ends a run at the backend server: with a response
// or, if lost is set, with the loss of its connection.
func (r *crashRequest) respond(p *crashProxy, run uint64) func(lost bool) {
	proxy := p.generation
	return func(lost bool) {
		delete(p.running, run)
		result := attemptResult{Refusal: outcome.Refusal{Outcome: outcome.Answered}}
		if lost = lost || r.statements.loses(r.rng); !lost {
			result.instance, result.stated = p.instance(), p.stated
			r.statements.responded(r.now, p)
		}
		finish := func() {
			if lost {
				result.Outcome, result.Reason = outcome.Unknown, outcome.ConnectionLost
				if !p.backendUp {
					result.Reason = outcome.BackendServerCrashed
				}
			}
			if result.stated != (statement{}) {
				r.step(p, result.stated.reported(run))
			}
			r.step(p, admission.Ended{ID: run, Outcome: result.Outcome, Reason: result.Reason})
			r.reply(p, result)
		}
		r.afterDelay(r.statements.delay, func() {
			if p.generation == proxy {
				r.deliver(p, finish)
			}
		})
	}
}

// afterDelay calls back after a random time of up to limit, at once if that is 0.
func (f *crashFleet) afterDelay(limit time.Duration, callback func()) {
	if limit == 0 {
		callback()
		return
	}
	f.after(f.jitter(limit), callback)
}

// recordSend counts an arrival of the crashing request at a backend server later than
// contactTime after it ended the third.
func (r *crashRequest) recordSend() {
	if r.crashFleet.ended >= 3 && r.now.Sub(r.thirdAt) > contactTime && r.inTouch(r.entry) {
		r.late++
	}
}

// recordCrash counts a backend server that the crashing request ended.
func (r *crashRequest) recordCrash() {
	r.crashFleet.ended++
	if r.crashFleet.ended == 3 {
		r.thirdAt = r.now
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
	p.backendUp, p.listedLeaving, p.stated = true, false, statement{}
	p.coldUntil = f.now.Add(time.Duration(f.warmUp.WarmUp))
	f.storeChanged(old, f.entry(p))
}

// attemptResult is the result of an attempt, with what the backend server states in its
// response.
type attemptResult struct {
	outcome.Refusal
	instance string
	stated   statement
}

func lostResult() attemptResult {
	return attemptResult{Refusal: outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost}}
}

func (r *crashRequest) reply(target *crashProxy, result attemptResult) {
	r.send(target, r.entry, func() { r.ended(result) }, func() { r.ended(lostResult()) })
}

// ended reports the end of an attempt to the entry proxy.
func (r *crashRequest) ended(result attemptResult) {
	if r.entry.generation != r.generation || !r.entry.up {
		delete(r.routes, r.id)
		r.done(lostResult().Refusal)
		return
	}
	e := routing.AttemptEnded{
		ID: r.id, Outcome: result.Outcome, Reason: result.Reason, RetryAfter: result.RetryAfter, Latency: time.Millisecond,
	}
	if r.zones > 0 {
		e.Latency = r.now.Sub(r.sentAt)
	}
	if result.Outcome == outcome.Answered {
		delete(r.routes, r.id)
		e.Status = 200
		r.statements.passedOn(r.now, r.entry, result)
		if s := result.stated; s != (statement{}) {
			r.step(r.entry, routing.Reported{ID: r.id, RateLimit: s.perSecond, RateLimited: s.limited, Leaving: s.leaving})
		}
		r.step(r.entry, e)
		r.done(result.Refusal)
		return
	}
	r.deliver(r.entry, func() { r.step(r.entry, e) })
}

// arrival returns the event by which the request reaches the proxy beside the
// backend server.
func (r *crashRequest) arrival(run uint64, s routing.Send) admission.Arrived {
	return admission.Arrived{
		ID: run, Repeatable: s.Repeatable, Fingerprint: r.fingerprint, Deadline: s.Deadline, Instance: s.Instance,
		Target: s.Target, Route: s.Route, Patience: s.MaxWaitShare, KnownCrashes: s.KnownCrashes,
		RateLimit: s.RateLimit, RateLimited: s.RateLimited, WarmUpPerSecond: s.WarmUpPerSecond,
	}
}

// sendCrashing sends the crashing request to random proxies until the given time.
func (f *crashFleet) sendCrashing(until time.Time) {
	if f.now.After(until) {
		return
	}
	entry := f.proxies[f.rng.IntN(len(f.proxies))]
	f.call(entry, 0, crashingFingerprint, func(outcome.Refusal) {})
	f.after(250*time.Millisecond+f.jitter(750*time.Millisecond), func() { f.sendCrashing(until) })
}

// sendCrashingEvery sends the crashing request at a fixed pace.
func (f *crashFleet) sendCrashingEvery(pace time.Duration, until time.Time) {
	if f.now.After(until) {
		return
	}
	f.call(f.proxies[f.rng.IntN(len(f.proxies))], 0, crashingFingerprint, func(outcome.Refusal) {})
	f.after(pace, func() { f.sendCrashingEvery(pace, until) })
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
		f.call(p, service, fingerprint, func(result outcome.Refusal) {
			switch {
			case result.Outcome == outcome.Answered:
				f.served++
			case tries > 0:
				f.after(20*time.Millisecond, func() { attempt(tries - 1) })
				return
			case result.Reason == outcome.Quarantined:
				f.quarantined++
			}
			f.after(time.Duration(f.rng.ExpFloat64()*float64(callPause)), func() { f.sendInnocent(p, until) })
		})
	}
	attempt(callRetries)
}

// startInnocent starts the given number of innocent callers a proxy.
func (f *crashFleet) startInnocent(length time.Duration, callers int) {
	until := f.now.Add(length)
	for _, p := range f.proxies {
		for range callers {
			f.after(f.jitter(time.Second), func() { f.sendInnocent(p, until) })
		}
	}
}

// start starts the crashing request and the given number of innocent callers a proxy.
func (f *crashFleet) start(length time.Duration, callers int) {
	f.startInnocent(length, callers)
	until := f.now.Add(length)
	f.after(time.Second, func() { f.sendCrashing(until) })
}

func (f *crashFleet) report(t *testing.T, n int) {
	t.Logf("%d proxies: %d backend servers ended, %d sends late; %d of %d innocent requests served, %d refused as suspects; %d messages",
		n, f.ended, f.late, f.served, f.innocent, f.quarantined, f.messages)
}
