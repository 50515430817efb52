package dist

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/member"
)

// provider picks a peer that holds a newer version for this scope, or the
// missing part of the present one: the holder that this instance is assigned
// to, else another peer of its zone, else one of another zone.
func (d *Dist) provider(now time.Time) (member.Record, bool) {
	if d.waitsForSource(now) {
		return member.Record{}, false
	}
	own := d.fleet.holderOf(d.cfg.ID, d.cfg.AvailabilityZone)
	need := d.need()
	if own != d.pull.avoid && d.holds(own, need) {
		return d.fleet.record(own)
	}
	near, far := d.candidates(need)
	if len(near) > 0 {
		return d.pick(near)
	}
	if now.Before(d.pull.farAt) {
		return member.Record{}, false
	}
	if len(far) > 0 {
		return d.pick(far)
	}
	return d.partProvider(now)
}

// need is the lowest version worth a transfer.
func (d *Dist) need() uint64 {
	if d.complete() {
		return d.current.Version + 1
	}
	return max(1, d.Held().Version)
}

// waitsForSource reports whether the reader's own watch may still bring the
// version that a peer holds.
func (d *Dist) waitsForSource(now time.Time) bool {
	reading := d.source.watching && d.source.failures == 0
	return d.role.current == Reader && reading && d.complete() && now.Sub(d.pull.behindSince) < readerPatience
}

func (d *Dist) candidates(need uint64) (near, far []string) {
	for i := range d.fleet.records {
		r := &d.fleet.records[i]
		if !d.holds(r.ID, need) {
			continue
		}
		if r.AvailabilityZone == d.cfg.AvailabilityZone {
			near = append(near, r.ID)
		} else {
			far = append(far, r.ID)
		}
	}
	return near, far
}

// holds reports whether a living peer is believed to hold at least the version
// in every service of this scope.
func (d *Dist) holds(id string, version uint64) bool {
	p, known := d.peers[id]
	if !known || p.head.Version < version {
		return false
	}
	r, known := d.fleet.record(id)
	promising := known && !d.lastStep.Before(p.skipUntil)
	return promising && d.alive(id) && d.covers(r)
}

// alive reports whether the ID is of another instance that is not suspect.
func (d *Dist) alive(id string) bool {
	r, known := d.fleet.record(id)
	return known && id != d.cfg.ID && r.State <= member.Leaving
}

func (d *Dist) covers(r member.Record) bool {
	if d.fleet.roles[r.ID] != Leaf {
		return true
	}
	if d.role.current != Leaf {
		return false
	}
	scope := r.Scope()
	return !slices.ContainsFunc(d.cfg.Services, func(s string) bool { return !scope.Covers(s) })
}

// pick draws a candidate, holders before leaves.
func (d *Dist) pick(ids []string) (member.Record, bool) {
	isHolder := func(id string) bool { return d.fleet.roles[id] != Leaf }
	if slices.ContainsFunc(ids, isHolder) {
		ids = slices.DeleteFunc(ids, func(id string) bool { return !isHolder(id) })
	}
	return d.draw(ids)
}

// draw picks at random, the peer that failed last only if there is no other.
func (d *Dist) draw(ids []string) (member.Record, bool) {
	if len(ids) == 0 {
		return member.Record{}, false
	}
	if len(ids) > 1 {
		ids = slices.DeleteFunc(ids, func(id string) bool { return id == d.pull.avoid })
	}
	return d.fleet.record(ids[d.rng.IntN(len(ids))])
}

// foreignRechecks is the number of rechecks of which one goes to a random zone.
const foreignRechecks = 4

// recheckPeer picks the peer with which heads are exchanged: one that can
// explain a refusal, for a leaf mostly its holder, else a random holder of a
// random zone. A proxy that is not ready also asks others of a random zone, as
// the holders may have died.
func (d *Dist) recheckPeer() (member.Record, bool) {
	if id := d.pull.refusedBy; id != "" {
		d.pull.refusedBy = ""
		r, _ := d.fleet.record(id)
		return r, d.alive(id)
	}
	own := d.fleet.holderOf(d.cfg.ID, d.cfg.AvailabilityZone)
	if d.ready.ready && d.alive(own) && own != d.pull.avoid && d.rng.IntN(foreignRechecks) != 0 {
		return d.fleet.record(own)
	}
	if len(d.fleet.zoneNames) == 0 {
		return member.Record{}, false
	}
	zone := d.fleet.zoneNames[d.rng.IntN(len(d.fleet.zoneNames))]
	members := d.fleet.holders(zone)
	if !d.ready.ready && d.rng.IntN(2) == 0 {
		members = d.fleet.zones[zone]
	}
	to := members[d.rng.IntN(len(members))].id
	r, _ := d.fleet.record(to)
	return r, d.alive(to)
}
