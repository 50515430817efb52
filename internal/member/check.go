package member

import (
	"net/netip"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

// Bounds on the contents of a message. A message that exceeds one of them is
// refused as a whole.
const (
	maxRecords    = 256
	maxDeltas     = 4096
	maxSuspicions = 1024
	maxRumours    = 64
	maxDigest     = 4096
	maxWant       = 256
	maxCalls      = 64
	maxSlots      = 100_000
	maxRootBytes  = 64
	// maxVersion and maxSeq leave room to increment any accepted value.
	maxVersion = 1 << 53
	maxSeq     = 1 << 48
	// maxClockAhead bounds how far in the future the start time that an
	// incarnation encodes may lie.
	maxClockAhead = 365 * 24 * time.Hour
	// maxInstances bounds the number of entries in the table.
	maxInstances = 20_000
)

// Causes of violations. They are values of a metric label.
const (
	causeSender    = "invalid sender"
	causeSize      = "too many items"
	causeRecord    = "invalid record"
	causeDelta     = "invalid change of a record"
	causeDigest    = "invalid digest"
	causeRumour    = "invalid rumour"
	causeTableFull = "table full"
)

// violation returns the cause for which a message is refused, or "" if it is
// valid.
func violation(now time.Time, g *Gossip) string {
	switch {
	case !config.ValidName(g.From):
		return causeSender
	case oversized(g):
		return causeSize
	}
	for i := range g.Records {
		if !validRecord(now, &g.Records[i]) {
			return causeRecord
		}
	}
	for i := range g.Deltas {
		if !validDeltaGroup(&g.Deltas[i]) {
			return causeDelta
		}
	}
	for _, s := range g.Suspicions {
		if s.Seq > maxSeq || s.AgeMs < 0 {
			return causeDelta
		}
	}
	if g.Digest != nil && !validDigest(g.Digest) {
		return causeDigest
	}
	return ""
}

func oversized(g *Gossip) bool {
	deltas := 0
	for _, b := range g.Deltas {
		deltas += len(b.Keys)
	}
	return len(g.Records) > maxRecords || deltas > maxDeltas || len(g.Deltas) > maxDeltas ||
		len(g.Suspicions) > maxSuspicions || len(g.Rumours) > maxRumours ||
		len(g.Buckets) != 0 && len(g.Buckets) != bucketCount ||
		len(g.WantRecords) > maxWant || len(g.WantDeltas) > maxDeltas ||
		len(g.Probe) > config.MaxNameBytes
}

func validRecord(now time.Time, r *Record) bool {
	return config.ValidName(r.ID) && config.ValidName(r.AvailabilityZone) &&
		validOptionalName(r.Region) && validOptionalName(r.Service) && validNames(r.Calls) &&
		validAddress(r.PeerAddress) && validAddress(r.ForwardAddress) &&
		r.Slots >= 0 && r.Slots <= maxSlots &&
		r.Incarnation <= uint64(now.Add(maxClockAhead).UnixNano()) &&
		validDeltaFields(r.State, r.Version, r.Refused, r.Root) && r.Seq <= maxSeq
}

func validDeltaFields(s State, version, refused uint64, root config.Hash) bool {
	return (s == Alive || s == Leaving || s == Dead) &&
		version <= maxVersion && refused <= maxVersion && len(root) <= maxRootBytes
}

func validDeltaGroup(b *DeltaGroup) bool {
	if len(b.Keys) != len(b.Seqs) || !validDeltaFields(b.State, b.Version, b.Refused, b.Root) {
		return false
	}
	for _, seq := range b.Seqs {
		if seq > maxSeq {
			return false
		}
	}
	return true
}

func validDigest(d *Digest) bool {
	if len(d.Buckets) > bucketCount || len(d.Keys) > maxDigest ||
		len(d.Keys) != len(d.Seqs) || len(d.Keys) != len(d.States) {
		return false
	}
	for _, b := range d.Buckets {
		if b < 0 || b >= bucketCount {
			return false
		}
	}
	return true
}

func validOptionalName(s string) bool {
	return s == "" || config.ValidName(s)
}

func validNames(names []string) bool {
	if len(names) > maxCalls {
		return false
	}
	for _, name := range names {
		if !config.ValidName(name) {
			return false
		}
	}
	return true
}

func validAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
