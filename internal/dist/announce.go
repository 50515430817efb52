package dist

import (
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// maxPushBytes is the largest delta sent along with an announcement. Larger
// deltas are left to a pull, so that they are not sent to a peer that cannot
// use them.
const maxPushBytes = 8 << 10

// announce notifies the peers assigned to this instance of its version and
// refusal. A reader also notifies the other readers of its zone. Each peer has
// one upstream, so that it receives a change once; lost announcements are
// repaired by gossip or by the next anti-entropy pull.
func (d *Dist) announce() {
	if d.role.current == Leaf || d.cfg.Naive {
		return
	}
	zone := d.cfg.AvailabilityZone
	for _, m := range d.fleet.zones[zone] {
		r, known := d.fleet.record(m.id)
		if !known || m.id == d.cfg.ID || r.State > member.Leaving {
			continue
		}
		toReader := d.role.current == Reader && d.fleet.roles[m.id] == Reader
		if toReader || d.fleet.upstreamOf(m.id, zone) == d.cfg.ID {
			d.announceTo(r, !toReader)
		}
	}
}

func (d *Dist) announceTo(r member.Record, push bool) {
	a := Announcement{From: d.cfg.ID, Head: d.HeldHead(), Refusal: d.refusal}
	known := d.peers[r.ID].head
	if known.Version >= a.Head.Version && a.Refusal == nil {
		return
	}
	if push && known.Version < a.Head.Version {
		a.Delta = d.pushDelta(r, known)
	}
	d.emit(Announce{To: r.ID, Address: r.PeerAddress, Announcement: a})
}

// pushDelta returns the delta from the version that the peer is known to hold,
// nil if there is none or it exceeds maxPushBytes.
func (d *Dist) pushDelta(r member.Record, known Head) *config.Delta {
	scope := r.Scope()
	if d.fleet.roles[r.ID] != Leaf {
		scope = nil
	}
	base := d.deltaBase(known, scope)
	if base == nil {
		return nil
	}
	delta := config.Diff(base, d.current, scope)
	if delta.Size() > maxPushBytes {
		return nil
	}
	return delta
}
