package member

import (
	"net/netip"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

// Bounds of a message. A message beyond one of them is refused as a whole.
const (
	maxRecords    = 256
	maxBeats      = 4096
	maxSuspicions = 1024
	maxRumours    = 64
	maxDigest     = 4096
	maxWant       = 256
	maxCalls      = 64
	maxSlots      = 100_000
	maxRootBytes  = 64
	// maxVersion and maxSeq leave room to count on from any accepted value.
	maxVersion = 1 << 53
	maxSeq     = 1 << 48
	// maxAhead bounds how far an incarnation may lie in the future.
	maxAhead = 365 * 24 * time.Hour
	// maxInstances bounds the table.
	maxInstances = 20_000
)

// Causes of violations.
const (
	causeSender    = "invalid sender"
	causeSize      = "too many items"
	causeRecord    = "invalid record"
	causeBeat      = "invalid change of a record"
	causeDigest    = "invalid digest"
	causeRumour    = "invalid rumour"
	causeTableFull = "table full"
)

// violation returns why a message is refused, or nothing.
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
	for i := range g.Beats {
		if !validBeats(&g.Beats[i]) {
			return causeBeat
		}
	}
	for _, s := range g.Suspicions {
		if s.Seq > maxSeq || s.AgeMs < 0 {
			return causeBeat
		}
	}
	if g.Digest != nil && !validDigest(g.Digest) {
		return causeDigest
	}
	return ""
}

func oversized(g *Gossip) bool {
	beats := 0
	for _, b := range g.Beats {
		beats += len(b.Keys)
	}
	return len(g.Records) > maxRecords || beats > maxBeats || len(g.Beats) > maxBeats ||
		len(g.Suspicions) > maxSuspicions || len(g.Rumours) > maxRumours ||
		len(g.Buckets) != 0 && len(g.Buckets) != bucketCount ||
		len(g.Want) > maxWant || len(g.WantBeats) > maxBeats ||
		len(g.Probe) > config.MaxNameBytes
}

func validRecord(now time.Time, r *Record) bool {
	return config.ValidName(r.ID) && config.ValidName(r.AvailabilityZone) &&
		optionalName(r.Region) && optionalName(r.Service) && validNames(r.Calls) &&
		validAddress(r.PeerAddress) && validAddress(r.ForwardAddress) &&
		r.Slots >= 0 && r.Slots <= maxSlots &&
		r.Incarnation <= uint64(now.Add(maxAhead).UnixNano()) &&
		validChange(r.State, r.Version, r.Refused, r.Root) && r.Seq <= maxSeq
}

func validChange(s State, version, refused uint64, root config.Hash) bool {
	return (s == Alive || s == Leaving || s == Dead) &&
		version <= maxVersion && refused <= maxVersion && len(root) <= maxRootBytes
}

func validBeats(b *Beats) bool {
	if len(b.Keys) != len(b.Seqs) || !validChange(b.State, b.Version, b.Refused, b.Root) {
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

func optionalName(s string) bool {
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
