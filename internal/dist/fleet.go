package dist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// listTrust is how long after the start an instance that is only on the
// platform's list counts as living. It keeps a proxy that has just started,
// and knows few peers, from taking itself for a reader.
const listTrust = 5 * time.Second

// peerHead is what one life of a peer has told of its version.
type peerHead struct {
	incarnation uint64
	head        Head
	// skipUntil is set after the peer lacked what its head and role promise.
	skipUntil time.Time
}

// fleet is the view of the fleet, derived from the membership and the list.
type fleet struct {
	// records is the view as it was given, sorted by ID; index finds a
	// record that counts.
	records []member.Record
	index   map[string]int
	// listed is the number of instances that are only on the list.
	listed int
	// digest is the hash of what the ranks depend on.
	digest uint64
	// zones holds the ranked members of each availability zone.
	zones map[string][]ranked
	roles map[string]Role
	// zoneNames is sorted.
	zoneNames []string
	// readers holds the IDs of all readers of the fleet, by hash.
	readers []string
}

// ranked is a candidate for the roles of its zone.
type ranked struct {
	id      string
	leaving bool
	failing bool
	hash    uint64
}

func compareRanked(a, b ranked) int {
	return cmp.Or(
		compareBool(a.leaving, b.leaving),
		compareBool(a.failing, b.failing),
		cmp.Compare(a.hash, b.hash),
		cmp.Compare(a.id, b.id),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// newFleet ranks every zone. Two proxies with the same view compute the same
// ranks; different views differ only by extra or missing holders.
func newFleet(records []member.Record, listed []source.Instance) fleet {
	f := fleet{
		records: records,
		digest:  digestOf(records),
		index:   make(map[string]int, len(records)),
		zones:   make(map[string][]ranked),
		roles:   make(map[string]Role, len(records)),
	}
	for at, r := range records {
		if r.State > member.Suspect {
			continue
		}
		f.index[r.ID] = at
		f.add(r.AvailabilityZone, ranked{
			id:      r.ID,
			leaving: r.State != member.Alive,
			failing: r.SourceFailing,
			hash:    xxhash.Sum64String(r.ID),
		})
	}
	for _, i := range listed {
		if _, known := f.index[i.ID]; !known {
			f.listed++
			f.add(i.AvailabilityZone, ranked{id: i.ID, leaving: i.State != source.InstanceLive, hash: xxhash.Sum64String(i.ID)})
		}
	}
	f.assignRoles()
	return f
}

// digestOf hashes what the ranks depend on, in the order of the records.
func digestOf(records []member.Record) uint64 {
	h := xxhash.New()
	for i := range records {
		r := &records[i]
		_, _ = h.WriteString(r.ID)
		_, _ = h.WriteString(r.AvailabilityZone)
		flags := [3]byte{0, byte(r.State), 0}
		if r.SourceFailing {
			flags[2] = 1
		}
		_, _ = h.Write(flags[:])
	}
	return h.Sum64()
}

// record returns the record of an instance that is not dead.
func (f *fleet) record(id string) (member.Record, bool) {
	at, known := f.index[id]
	if !known {
		return member.Record{}, false
	}
	return f.records[at], true
}

func (f *fleet) add(zone string, r ranked) {
	f.zones[zone] = append(f.zones[zone], r)
}

func (f *fleet) assignRoles() {
	f.zoneNames = slices.Sorted(maps.Keys(f.zones))
	var readers []ranked
	for _, zone := range f.zoneNames {
		members := f.zones[zone]
		slices.SortFunc(members, compareRanked)
		for rank, m := range members {
			role := roleOf(rank, len(members))
			f.roles[m.id] = role
			if role == Reader {
				readers = append(readers, m)
			}
		}
	}
	slices.SortFunc(readers, compareRanked)
	for _, r := range readers {
		f.readers = append(f.readers, r.id)
	}
}

// holders returns the readers and relays of a zone, in rank order.
func (f *fleet) holders(zone string) []ranked {
	members := f.zones[zone]
	readers, relays := holders(len(members))
	return members[:min(len(members), readers+relays)]
}

// holderOf returns the ID of the holder that serves the instance in its zone:
// for a leaf any holder, for a relay a reader. Readers serve themselves.
func (f *fleet) holderOf(id, zone string) string {
	switch f.roles[id] {
	case Reader:
		return ""
	case Relay:
		members := f.zones[zone]
		readers, _ := holders(len(members))
		return rendezvous(id, members[:readers])
	default:
		return rendezvous(id, f.holders(zone))
	}
}

// rendezvous returns the candidate with the highest hash for the ID.
func rendezvous(id string, candidates []ranked) string {
	var best string
	var highest uint64
	for _, c := range candidates {
		if h := xxhash.Sum64String(id + "\x00" + c.id); best == "" || h > highest {
			best, highest = c.id, h
		}
	}
	return best
}

func (d *Dist) setPeers(now time.Time, records []member.Record) {
	if d.cfg.Naive {
		return
	}
	d.rank(now, records)
	for _, r := range records {
		if r.ID == d.cfg.ID {
			continue
		}
		if p := d.peers[r.ID]; p.incarnation != r.Incarnation {
			d.peers[r.ID] = peerHead{incarnation: r.Incarnation}
		}
		d.heard(r.ID, Head{Version: r.Version, Root: r.Root})
		d.heardRefused(now, r)
	}
	for id := range d.peers {
		if _, ok := d.fleet.index[id]; !ok {
			delete(d.peers, id)
		}
	}
}

func (d *Dist) setListed(now time.Time, instances []source.Instance) {
	if d.cfg.Naive {
		return
	}
	d.listRead = true
	d.listed = instances
	if now.Sub(d.started) < listTrust {
		d.fleet = newFleet(d.fleet.records, d.listed)
	}
}

// rank derives the fleet from the records and, soon after the start, the list.
// The ranks of an unchanged view stand.
func (d *Dist) rank(now time.Time, records []member.Record) {
	if now.Sub(d.started) >= listTrust {
		d.listed = nil
	}
	if d.listed == nil && d.fleet.listed == 0 && len(records) > 0 && digestOf(records) == d.fleet.digest {
		d.fleet.records = records
		return
	}
	d.fleet = newFleet(records, d.listed)
}
