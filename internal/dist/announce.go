package dist

import (
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// maxPush is the size in bytes up to which a delta is sent with the
// announcement; a larger one is pulled, so that it is not sent in vain.
const maxPush = 8 << 10

// announce tells the peers that are assigned to this instance of its version
// and refusal. A reader also tells the other readers of its zone. Each peer has
// one holder, so that a change reaches it once; what is lost on the way is
// found by gossip or by the next exchange of heads.
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
		if toReader || d.fleet.holderOf(m.id, zone) == d.cfg.ID {
			d.announceTo(r, !toReader)
		}
	}
}

func (d *Dist) announceTo(r member.Record, push bool) {
	a := Announcement{From: d.cfg.ID, Head: d.Held(), Refusal: d.refusal}
	known := d.peers[r.ID].head
	if known.Version >= a.Head.Version && a.Refusal == nil {
		return
	}
	if push && known.Version < a.Head.Version {
		a.Delta = d.push(r, known)
	}
	d.emit(Announce{To: r.ID, Address: r.PeerAddress, Announcement: a})
}

// push returns the small delta from what the peer is known to hold, if any.
func (d *Dist) push(r member.Record, known Head) *config.Delta {
	scope := r.Scope()
	if d.fleet.roles[r.ID] != Leaf {
		scope = nil
	}
	base := d.base(known, scope)
	if base == nil {
		return nil
	}
	delta := config.Diff(base, d.current, scope)
	if delta.Size() > maxPush {
		return nil
	}
	return delta
}
