package dist

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// pull starts a transfer if some peer holds what this instance lacks.
func (d *Dist) pull(now time.Time) {
	if d.pulling != "" && now.Sub(d.pullSince) >= d.cfg.PullTimeout {
		d.pulling = ""
		d.pullRetry.fail(now, d.rng)
	}
	if d.cfg.Naive || d.pulling != "" || !d.pullRetry.due(now) {
		return
	}
	from, ok := d.provider()
	if !ok {
		return
	}
	d.pulling = from.ID
	d.pullSince = now
	d.emit(Pull{To: from.ID, Address: from.PeerAddress, Request: d.request()})
}

func (d *Dist) request() PullRequest {
	r := PullRequest{From: d.cfg.ID, All: d.role != Leaf}
	if !r.All {
		r.Services = d.cfg.Services
	}
	if d.current != nil && d.current.Complete(d.scope()) {
		r.Have = d.Head()
	}
	return r
}

// provider picks a peer that holds a newer version for this scope, or the
// missing part of the present one.
func (d *Dist) provider() (member.Record, bool) {
	need := d.Head().Version
	if d.current == nil || d.current.Complete(d.scope()) {
		need++
	}
	var near, far []member.Record
	for _, r := range d.records {
		if r.ID == d.cfg.ID || r.State > member.Leaving || d.heads[r.ID].Version < need || !d.covers(r) {
			continue
		}
		if r.AvailabilityZone == d.cfg.AvailabilityZone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	candidates := near
	if len(near) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return member.Record{}, false
	}
	return candidates[d.rng.IntN(len(candidates))], true
}

// covers reports whether the peer holds every service of this scope.
func (d *Dist) covers(r member.Record) bool {
	if d.isHolder(r) {
		return true
	}
	if d.role != Leaf {
		return false
	}
	scope := r.Scope()
	return !slices.ContainsFunc(d.cfg.Services, func(s string) bool { return !scope.Covers(s) })
}

// isHolder reports whether the peer is a reader or relay of its zone.
func (d *Dist) isHolder(r member.Record) bool {
	ranked := d.ranked
	if r.AvailabilityZone != d.cfg.AvailabilityZone {
		ranked = ranking(d.records, r.AvailabilityZone)
	}
	rank := slices.IndexFunc(ranked, func(o member.Record) bool { return o.ID == r.ID })
	return roleOf(rank, len(ranked)) != Leaf
}

func (d *Dist) pulled(now time.Time, e Pulled) {
	if e.From != d.pulling {
		return
	}
	d.pulling = ""
	if e.Err != "" || e.Reply.Delta == nil {
		d.pullRetry.fail(now, d.rng)
		return
	}
	base := d.current
	if e.Reply.Delta.Base == "" {
		base = nil
	}
	s, err := config.Apply(base, e.Reply.Delta, d.scope())
	if err != nil {
		d.emit(Violation{From: e.From, Cause: err.Error()})
		d.pullRetry.fail(now, d.rng)
		return
	}
	if !d.accept(s) {
		d.pullRetry.fail(now, d.rng)
		return
	}
	d.pullRetry.reset()
}
