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
		return d.fleet.records[own], true
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
	for _, id := range d.fleet.ids {
		if !d.holds(id, need) {
			continue
		}
		if d.fleet.records[id].AvailabilityZone == d.cfg.AvailabilityZone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	return near, far
}

// holds reports whether a living peer is believed to hold at least the version
// in every service of this scope.
func (d *Dist) holds(id string, version uint64) bool {
	p := d.peers[id]
	promising := p.head.Version >= version && !d.lastStep.Before(p.skipUntil)
	return promising && d.alive(id) && d.covers(d.fleet.records[id])
}

// alive reports whether the ID is of another instance that is not suspect.
func (d *Dist) alive(id string) bool {
	r, known := d.fleet.records[id]
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
	return d.fleet.records[ids[d.rng.IntN(len(ids))]], true
}

// foreignRechecks is the number of rechecks of which one goes to a random zone.
const foreignRechecks = 4

// recheckPeer picks the peer with which heads are exchanged: for a leaf mostly
// its holder, for others a random holder of a random zone. A proxy that is not
// ready asks anybody of a random zone.
func (d *Dist) recheckPeer() (member.Record, bool) {
	own := d.fleet.holderOf(d.cfg.ID, d.cfg.AvailabilityZone)
	record, known := d.fleet.records[own]
	leaf := d.role.current == Leaf && own != d.cfg.ID
	if d.ready.ready && leaf && known && own != d.pull.avoid && d.rng.IntN(foreignRechecks) != 0 {
		return record, true
	}
	if len(d.fleet.zoneNames) == 0 {
		return member.Record{}, false
	}
	zone := d.fleet.zoneNames[d.rng.IntN(len(d.fleet.zoneNames))]
	members := d.fleet.zones[zone]
	if d.ready.ready {
		members = d.fleet.holders(zone)
	}
	to := members[d.rng.IntN(len(members))].id
	return d.fleet.records[to], d.alive(to)
}
