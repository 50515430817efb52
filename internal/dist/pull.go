package dist

import (
	"time"

	"heatherlift.example/heatherlift/internal/member"
)

const (
	// searchInterval is the time between two searches for a provider.
	searchInterval = 100 * time.Millisecond
	// readerPatience is how long a reader waits for its own watch before it
	// pulls a version that a peer holds.
	readerPatience = 500 * time.Millisecond
	// farHolderDelay and farLeafDelay are how long, with as much jitter, a
	// proxy waits for its own zone before it pulls from another.
	farHolderDelay = 100 * time.Millisecond
	farLeafDelay   = 2 * time.Second
	// skipInterval is how long a peer is passed over that lacked what its
	// head and role promise.
	skipInterval = 5 * time.Second
	// recheckInterval is the least time between two exchanges of heads with
	// a holder; the most is twice as long.
	recheckInterval = 30 * time.Second
	// failingInterval is recheckInterval of a reader that cannot read the
	// source, which has to learn whether others can.
	failingInterval = 4 * time.Second
	// unreadyInterval is recheckInterval of a proxy that is not ready.
	unreadyInterval = 250 * time.Millisecond
)

// pullState is the one transfer in flight and what governs the next.
type pullState struct {
	call  uint64
	to    string
	since time.Time
	retry backoff
	// avoid is the peer that failed last.
	avoid string
	// recheck is when heads are exchanged although nothing is missing.
	recheck time.Time
	// refusedBy is a peer that can explain a refused version.
	refusedBy string
	// behindSince is when a newer version was first heard of, farAt when it
	// may be pulled from another zone. Zero while nothing is missing.
	behindSince, farAt time.Time
}

// succeeded ends the backoff.
func (p *pullState) succeeded(now time.Time) {
	p.retry.reset()
	p.avoid = ""
	p.behindSince = time.Time{}
	if !p.recheck.IsZero() && p.recheck.Before(now) {
		p.recheck = now
	}
}

// startPull starts a transfer if some peer holds what this instance lacks, or
// an exchange of heads if one is due. At most one is in flight.
func (d *Dist) startPull(now time.Time) {
	p := &d.pull
	if p.to != "" && now.Sub(p.since) >= d.cfg.PullTimeout {
		d.pullFailed(now)
	}
	if d.cfg.Naive || p.to != "" || !p.retry.due(now) {
		return
	}
	d.updateBehind(now)
	if !p.behindSince.IsZero() {
		if from, ok := d.provider(now); ok {
			d.pullFrom(now, from)
			return
		}
		p.retry.wait(now, searchInterval, d.rng)
	}
	if !now.Before(p.recheck) {
		d.recheckHeads(now)
	}
}

// updateBehind notes since when a newer version, or a part of the present
// one, is missing.
func (d *Dist) updateBehind(now time.Time) {
	p := &d.pull
	if d.complete() && d.highest <= d.Held().Version {
		p.behindSince = time.Time{}
		return
	}
	if !p.behindSince.IsZero() {
		return
	}
	delay := farLeafDelay
	if d.role.current != Leaf {
		delay = farHolderDelay
	}
	p.behindSince = now
	p.farAt = now.Add(delay + jitter(d.rng, delay))
}

func (d *Dist) pullFrom(now time.Time, from member.Record) {
	p := &d.pull
	p.call++
	p.to = from.ID
	p.since = now
	interval := d.recheckEvery()
	p.recheck = now.Add(interval + jitter(d.rng, interval))
	d.emit(Pull{Call: p.call, To: from.ID, Address: from.PeerAddress, Request: d.request()})
}

func (d *Dist) recheckEvery() time.Duration {
	switch {
	case !d.ready.ready:
		return unreadyInterval
	case d.role.current == Reader && d.source.failures > 0:
		return failingInterval
	default:
		return recheckInterval
	}
}

func (d *Dist) request() PullRequest {
	r := PullRequest{From: d.cfg.ID, All: d.role.current != Leaf}
	missing := d.missing()
	switch {
	case len(missing) > 0:
		r.All = false
		r.Services = missing
	case !r.All:
		r.Services = d.cfg.Services
	}
	if d.complete() && len(missing) == 0 {
		r.Have = d.Held()
	}
	r.Refused, _ = d.RefusedVersion()
	return r
}

func (d *Dist) recheckHeads(now time.Time) {
	if to, ok := d.recheckPeer(); ok {
		d.pullFrom(now, to)
		return
	}
	d.pull.recheck = now.Add(unreadyInterval)
}

// skip passes a peer over for a while that lacks what it was asked for.
func (d *Dist) skip(now time.Time, id string) {
	if p, known := d.peers[id]; known {
		p.skipUntil = now.Add(skipInterval)
		d.peers[id] = p
	}
}

func (d *Dist) pullFailed(now time.Time) {
	d.pull.avoid = d.pull.to
	d.pull.to = ""
	d.pull.retry.fail(now, d.rng)
}

// pulled takes the answer to a pull. An answer that comes late still counts by
// the version that it carries.
func (d *Dist) pulled(now time.Time, e Pulled) {
	if d.cfg.Naive {
		return
	}
	p := &d.pull
	usable := e.Err == "" && (e.Reply.Delta == nil || d.apply(e.From, e.Reply.Delta))
	if e.Err == "" {
		d.refuse(e.Reply.Refusal)
	}
	if p.to == "" || e.Call != p.call {
		return
	}
	if !usable {
		d.skip(now, e.From)
	}
	if !usable || now.Sub(p.since) >= d.cfg.PullTimeout {
		d.pullFailed(now)
		return
	}
	d.learnCheck(p.since, e.Reply)
	d.learnHead(e.From, e.Reply.Head)
	missing := e.Reply.Delta == nil && (!d.complete() || d.Held().Version < e.Reply.Head.Version)
	switch {
	case e.Reply.RetryAfterMs > 0:
		p.avoid, p.to = p.to, ""
		p.retry.wait(now, time.Duration(e.Reply.RetryAfterMs)*time.Millisecond, d.rng)
	case missing:
		d.skip(now, e.From)
		d.pullFailed(now)
	default:
		p.to = ""
		p.succeeded(now)
	}
}

// learnHead sets the head of a peer to what it answered, which may be lower
// than what was heard: a restarted peer remembers nothing.
func (d *Dist) learnHead(from string, h Head) {
	d.heard(from, h)
	if p, known := d.peers[from]; known {
		p.head = h
		d.peers[from] = p
	}
}
