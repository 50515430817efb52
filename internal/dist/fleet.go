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

// listTrustPeriod is how long after the start of this proxy instances known only
// from the platform's list are ranked as members of their zones. Without them, a
// proxy that has just started and knows few peers would rank itself as a reader.
const listTrustPeriod = 5 * time.Second

// peerState is the version reported by one incarnation of a peer.
type peerState struct {
	incarnation uint64
	head        Head
	// skipUntil is when the peer is considered again as a provider; see
	// skipPeriod.
	skipUntil time.Time
}

// fleet is the view of all instances, derived from the membership and the
// platform's list.
type fleet struct {
	// records is the membership view as received, sorted by ID. index holds
	// the position of each record that is alive, leaving or suspect.
	records []member.Record
	index   map[string]int
	// listedOnly is the number of instances known only from the platform's
	// list.
	listedOnly int
	// digest is the hash of the record fields that determine the ranks.
	digest uint64
	// zones holds the members of each availability zone in rank order.
	zones map[string][]rankedMember
	roles map[string]Role
	// zoneNames is sorted.
	zoneNames []string
	// readers holds the IDs of all readers of the fleet in rank order.
	readers []string
}

// rankedMember is an instance with the fields that determine its rank in its
// zone. Instances that are not leaving rank first, then those that can read the
// source; the hash of the ID decides among the rest.
type rankedMember struct {
	id            string
	leaving       bool
	sourceFailing bool
	hash          uint64
}

func compareRank(a, b rankedMember) int {
	return cmp.Or(
		compareBool(a.leaving, b.leaving),
		compareBool(a.sourceFailing, b.sourceFailing),
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

// newFleet ranks the members of every zone. Proxies with the same view compute
// the same ranks; different views only lead to additional or missing full
// replicas.
func newFleet(records []member.Record, listed []source.Instance) fleet {
	f := fleet{
		records: records,
		digest:  rankingDigest(records),
		index:   make(map[string]int, len(records)),
		zones:   make(map[string][]rankedMember),
		roles:   make(map[string]Role, len(records)),
	}
	for pos, r := range records {
		if r.State > member.Suspect {
			continue
		}
		f.index[r.ID] = pos
		f.addMember(r.AvailabilityZone, rankedMember{
			id:            r.ID,
			leaving:       r.State != member.Alive,
			sourceFailing: r.SourceFailing,
			hash:          xxhash.Sum64String(r.ID),
		})
	}
	for _, i := range listed {
		if _, known := f.index[i.ID]; !known {
			f.listedOnly++
			f.addMember(i.AvailabilityZone, rankedMember{id: i.ID, leaving: i.State != source.InstanceLive, hash: xxhash.Sum64String(i.ID)})
		}
	}
	f.assignRoles()
	return f
}

// rankingDigest hashes the record fields that determine the ranks, in the order
// of the records.
func rankingDigest(records []member.Record) uint64 {
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

// record returns the record of an instance that is alive, leaving or suspect.
func (f *fleet) record(id string) (member.Record, bool) {
	pos, known := f.index[id]
	if !known {
		return member.Record{}, false
	}
	return f.records[pos], true
}

func (f *fleet) addMember(zone string, r rankedMember) {
	f.zones[zone] = append(f.zones[zone], r)
}

func (f *fleet) assignRoles() {
	f.zoneNames = slices.Sorted(maps.Keys(f.zones))
	var readers []rankedMember
	for _, zone := range f.zoneNames {
		members := f.zones[zone]
		slices.SortFunc(members, compareRank)
		for rank, m := range members {
			role := roleOf(rank, len(members))
			f.roles[m.id] = role
			if role == Reader {
				readers = append(readers, m)
			}
		}
	}
	slices.SortFunc(readers, compareRank)
	for _, r := range readers {
		f.readers = append(f.readers, r.id)
	}
}

// fullReplicas returns the readers and relays of a zone in rank order.
func (f *fleet) fullReplicas(zone string) []rankedMember {
	members := f.zones[zone]
	readers, relays := roleCounts(len(members))
	return members[:min(len(members), readers+relays)]
}

// upstreamOf returns the ID of the full replica of the zone that serves the
// instance: any full replica for a leaf, a reader for a relay. A reader has no
// upstream.
func (f *fleet) upstreamOf(id, zone string) string {
	switch f.roles[id] {
	case Reader:
		return ""
	case Relay:
		members := f.zones[zone]
		readers, _ := roleCounts(len(members))
		return rendezvous(id, members[:readers])
	default:
		return rendezvous(id, f.fullReplicas(zone))
	}
}

// rendezvous picks a candidate by rendezvous hashing on the ID.
func rendezvous(id string, candidates []rankedMember) string {
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
	d.updateFleet(now, records)
	for _, r := range records {
		if r.ID == d.cfg.ID {
			continue
		}
		if p := d.peers[r.ID]; p.incarnation != r.Incarnation {
			d.peers[r.ID] = peerState{incarnation: r.Incarnation}
		}
		d.recordHead(r.ID, Head{Version: r.Version, Root: r.Root})
		d.scheduleRefusalPull(now, r)
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
	d.listReceived = true
	d.listed = instances
	if now.Sub(d.started) < listTrustPeriod {
		d.fleet = newFleet(d.fleet.records, d.listed)
	}
}

// updateFleet derives the fleet from the records and, during listTrustPeriod,
// from the platform's list. If the ranking fields are unchanged, the ranks are
// kept.
func (d *Dist) updateFleet(now time.Time, records []member.Record) {
	if now.Sub(d.started) >= listTrustPeriod {
		d.listed = nil
	}
	if d.listed == nil && d.fleet.listedOnly == 0 && len(records) > 0 && rankingDigest(records) == d.fleet.digest {
		d.fleet.records = records
		return
	}
	d.fleet = newFleet(records, d.listed)
}
