package dist

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/member"
)

// provider picks a peer that holds a newer version for this scope, or the
// missing part of the current one: preferably the assigned upstream, then
// another peer of the same zone, then, after a delay, one of another zone, and
// finally one that holds a part.
func (d *Dist) provider(now time.Time) (member.Record, bool) {
	if d.waitsForSource(now) {
		return member.Record{}, false
	}
	upstream := d.fleet.upstreamOf(d.cfg.ID, d.cfg.AvailabilityZone)
	need := d.neededVersion()
	if upstream != d.pull.avoidedPeer && d.canProvide(upstream, need) {
		return d.fleet.record(upstream)
	}
	sameZone, otherZones := d.providers(need)
	if len(sameZone) > 0 {
		return d.pickPreferred(sameZone)
	}
	if now.Before(d.pull.crossZoneAt) {
		return member.Record{}, false
	}
	if len(otherZones) > 0 {
		return d.pickPreferred(otherZones)
	}
	return d.partialProvider(now)
}

// neededVersion returns the lowest version worth a transfer.
func (d *Dist) neededVersion() uint64 {
	if d.complete() {
		return d.current.Version + 1
	}
	return max(1, d.HeldHead().Version)
}

// waitsForSource reports whether this instance is a reader whose own watch may
// still deliver, within readerPullDelay, the version that a peer holds.
func (d *Dist) waitsForSource(now time.Time) bool {
	reading := d.source.watching && d.source.failures == 0
	return d.role.current == Reader && reading && d.complete() && now.Sub(d.pull.behindSince) < readerPullDelay
}

// providers returns the peers that can provide the given version, by zone.
func (d *Dist) providers(need uint64) (sameZone, otherZones []string) {
	for i := range d.fleet.records {
		r := &d.fleet.records[i]
		if !d.canProvide(r.ID, need) {
			continue
		}
		if r.AvailabilityZone == d.cfg.AvailabilityZone {
			sameZone = append(sameZone, r.ID)
		} else {
			otherZones = append(otherZones, r.ID)
		}
	}
	return sameZone, otherZones
}

// canProvide reports whether the ID belongs to a live peer that is not skipped
// and is believed to hold at least the given version for every service of this
// scope.
func (d *Dist) canProvide(id string, version uint64) bool {
	p, known := d.peers[id]
	if !known || p.head.Version < version {
		return false
	}
	r, known := d.fleet.record(id)
	eligible := known && !d.lastStep.Before(p.skipUntil)
	return eligible && d.isLivePeer(id) && d.coversScope(r)
}

// isLivePeer reports whether the ID belongs to another instance that is alive or
// leaving.
func (d *Dist) isLivePeer(id string) bool {
	r, known := d.fleet.record(id)
	return known && id != d.cfg.ID && r.State <= member.Leaving
}

// coversScope reports whether a peer of the record's role and scope holds every
// service of this scope.
func (d *Dist) coversScope(r member.Record) bool {
	if d.fleet.roles[r.ID] != Leaf {
		return true
	}
	if d.role.current != Leaf {
		return false
	}
	scope := r.Scope()
	return !slices.ContainsFunc(d.cfg.Services, func(s string) bool { return !scope.Covers(s) })
}

// pickPreferred picks a random full replica, or a random leaf if there is none.
func (d *Dist) pickPreferred(ids []string) (member.Record, bool) {
	isFullReplica := func(id string) bool { return d.fleet.roles[id] != Leaf }
	if slices.ContainsFunc(ids, isFullReplica) {
		ids = slices.DeleteFunc(ids, func(id string) bool { return !isFullReplica(id) })
	}
	return d.pickRandom(ids)
}

// pickRandom picks a random candidate. avoidedPeer is excluded unless it is the
// only one.
func (d *Dist) pickRandom(ids []string) (member.Record, bool) {
	if len(ids) == 0 {
		return member.Record{}, false
	}
	if len(ids) > 1 {
		ids = slices.DeleteFunc(ids, func(id string) bool { return id == d.pull.avoidedPeer })
	}
	return d.fleet.record(ids[d.rng.IntN(len(ids))])
}

// One in crossZoneRecheckRatio rechecks goes to a random zone instead of the
// upstream.
const crossZoneRecheckRatio = 4

// recheckPeer picks the peer for a recheck: refusalPeer if it is set; otherwise,
// once ready, usually the upstream, which readers do not have; otherwise a
// random full replica of a random zone. A proxy that is not ready also tries
// leaves of a random zone, as the full replicas may have failed.
func (d *Dist) recheckPeer() (member.Record, bool) {
	if id := d.pull.refusalPeer; id != "" {
		d.pull.refusalPeer = ""
		r, _ := d.fleet.record(id)
		return r, d.isLivePeer(id)
	}
	upstream := d.fleet.upstreamOf(d.cfg.ID, d.cfg.AvailabilityZone)
	if d.ready.ready && d.isLivePeer(upstream) && upstream != d.pull.avoidedPeer && d.rng.IntN(crossZoneRecheckRatio) != 0 {
		return d.fleet.record(upstream)
	}
	if len(d.fleet.zoneNames) == 0 {
		return member.Record{}, false
	}
	zone := d.fleet.zoneNames[d.rng.IntN(len(d.fleet.zoneNames))]
	members := d.fleet.fullReplicas(zone)
	if !d.ready.ready && d.rng.IntN(2) == 0 {
		members = d.fleet.zones[zone]
	}
	peer := members[d.rng.IntN(len(members))].id
	r, _ := d.fleet.record(peer)
	return r, d.isLivePeer(peer)
}
