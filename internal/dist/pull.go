package dist

import (
	"time"

	"heatherlift.example/heatherlift/internal/member"
)

const (
	// providerSearchInterval is the minimum time between two searches for a
	// provider; jitter at most doubles it.
	providerSearchInterval = 100 * time.Millisecond
	// readerPullDelay is how long a reader waits for its own watch before
	// it pulls a version that a peer holds.
	readerPullDelay = 500 * time.Millisecond
	// crossZoneReplicaDelay and crossZoneLeafDelay are how long a full
	// replica and a leaf wait for a provider in their own zone before they
	// pull from another. Jitter at most doubles them.
	crossZoneReplicaDelay = 100 * time.Millisecond
	crossZoneLeafDelay    = 2 * time.Second
	// skipPeriod is how long a peer is not chosen as a provider after a pull
	// from it returned an error, an unusable delta, or less than its head and
	// role imply.
	skipPeriod = 5 * time.Second
	// recheckInterval is the minimum time between two rechecks; jitter at
	// most doubles it. A recheck is an anti-entropy pull: it compares heads
	// although nothing is known to be missing.
	recheckInterval = 30 * time.Second
	// failingRecheckInterval replaces recheckInterval on a reader that
	// cannot read the source, so that it learns whether other readers can.
	failingRecheckInterval = 4 * time.Second
	// unreadyRecheckInterval replaces recheckInterval on a proxy that is
	// not ready.
	unreadyRecheckInterval = 250 * time.Millisecond
)

// pullState holds the pull in flight and the schedule of the next one.
type pullState struct {
	call      uint64
	peer      string
	startedAt time.Time
	retry     backoff
	// avoidedPeer is the peer that last failed or deferred a pull.
	avoidedPeer string
	// recheckAt is when the next recheck is due.
	recheckAt time.Time
	// refusalPeer is a peer whose record names a refused version that is not
	// known here. The next recheck goes to it, to receive the refusal with
	// its problems.
	refusalPeer string
	// behindSince is when this instance learnt that it lacks a version or a
	// part of one, crossZoneAt when it may pull from another zone.
	// behindSince is zero while nothing is missing.
	behindSince, crossZoneAt time.Time
}

// recordSuccess resets the backoff, the avoided peer and behindSince after a
// successful pull or push.
func (p *pullState) recordSuccess(now time.Time) {
	p.retry.reset()
	p.avoidedPeer = ""
	p.behindSince = time.Time{}
	if !p.recheckAt.IsZero() && p.recheckAt.Before(now) {
		p.recheckAt = now
	}
}

// startPull starts a transfer if a peer holds what this instance lacks, or a
// recheck if one is due. At most one pull is in flight.
func (d *Dist) startPull(now time.Time) {
	p := &d.pull
	if p.peer != "" && now.Sub(p.startedAt) >= d.cfg.PullTimeout {
		d.recordPullFailure(now)
	}
	if d.cfg.Naive || p.peer != "" || !p.retry.due(now) {
		return
	}
	d.updateBehindSince(now)
	if !p.behindSince.IsZero() {
		if from, ok := d.provider(now); ok {
			d.pullFrom(now, from)
			return
		}
		p.retry.schedule(now, providerSearchInterval, d.rng)
	}
	if !now.Before(p.recheckAt) {
		d.startRecheck(now)
	}
}

// updateBehindSince tracks since when a newer version, or a part of the current
// one, has been missing.
func (d *Dist) updateBehindSince(now time.Time) {
	p := &d.pull
	if d.complete() && d.highestVersion <= d.HeldHead().Version {
		p.behindSince = time.Time{}
		return
	}
	if !p.behindSince.IsZero() {
		return
	}
	delay := crossZoneLeafDelay
	if d.role.current != Leaf {
		delay = crossZoneReplicaDelay
	}
	p.behindSince = now
	p.crossZoneAt = now.Add(delay + jitter(d.rng, delay))
}

func (d *Dist) pullFrom(now time.Time, from member.Record) {
	p := &d.pull
	p.call++
	p.peer = from.ID
	p.startedAt = now
	interval := d.recheckDelay()
	p.recheckAt = now.Add(interval + jitter(d.rng, interval))
	d.emit(Pull{Call: p.call, To: from.ID, Address: from.PeerAddress, Request: d.pullRequest()})
}

// recheckDelay returns the minimum time from a pull to the next recheck.
func (d *Dist) recheckDelay() time.Duration {
	switch {
	case !d.ready.ready:
		return unreadyRecheckInterval
	case d.role.current == Reader && d.source.failures > 0:
		return failingRecheckInterval
	default:
		return recheckInterval
	}
}

func (d *Dist) pullRequest() PullRequest {
	r := PullRequest{From: d.cfg.ID, All: d.role.current != Leaf}
	missing := d.missingServices()
	switch {
	case len(missing) > 0:
		r.All = false
		r.Services = missing
	case !r.All:
		r.Services = d.cfg.Services
	}
	if d.complete() && len(missing) == 0 {
		r.Have = d.HeldHead()
	}
	r.Refused, _ = d.RefusedVersion()
	return r
}

func (d *Dist) startRecheck(now time.Time) {
	if to, ok := d.recheckPeer(); ok {
		d.pullFrom(now, to)
		return
	}
	d.pull.recheckAt = now.Add(unreadyRecheckInterval)
}

// skipPeer excludes a peer as a provider for skipPeriod.
func (d *Dist) skipPeer(now time.Time, id string) {
	if p, known := d.peers[id]; known {
		p.skipUntil = now.Add(skipPeriod)
		d.peers[id] = p
	}
}

func (d *Dist) recordPullFailure(now time.Time) {
	d.pull.avoidedPeer = d.pull.peer
	d.pull.peer = ""
	d.pull.retry.fail(now, d.rng)
}

// handlePulled handles the result of a pull. The delta and the refusal of a
// reply that arrives after the pull was given up are still applied.
func (d *Dist) handlePulled(now time.Time, e Pulled) {
	if d.cfg.Naive {
		return
	}
	p := &d.pull
	usable := e.Err == "" && (e.Reply.Delta == nil || d.applyDelta(e.From, e.Reply.Delta))
	if e.Err == "" {
		d.recordRefusal(e.Reply.Refusal)
	}
	if p.peer == "" || e.Call != p.call {
		return
	}
	if !usable {
		d.skipPeer(now, e.From)
	}
	if !usable || now.Sub(p.startedAt) >= d.cfg.PullTimeout {
		d.recordPullFailure(now)
		return
	}
	d.recordSourceCheck(p.startedAt, e.Reply)
	d.replaceHead(e.From, e.Reply.Head)
	missing := e.Reply.Delta == nil && (!d.complete() || d.HeldHead().Version < e.Reply.Head.Version)
	switch {
	case e.Reply.RetryAfterMs > 0:
		p.avoidedPeer, p.peer = p.peer, ""
		p.retry.schedule(now, time.Duration(e.Reply.RetryAfterMs)*time.Millisecond, d.rng)
	case missing:
		d.skipPeer(now, e.From)
		d.recordPullFailure(now)
	default:
		p.peer = ""
		p.recordSuccess(now)
	}
}

// replaceHead sets the head of a peer to the one in its reply. It may be lower
// than the one recorded, as a peer loses its version when it restarts.
func (d *Dist) replaceHead(from string, h Head) {
	d.recordHead(from, h)
	if p, known := d.peers[from]; known {
		p.head = h
		d.peers[from] = p
	}
}
