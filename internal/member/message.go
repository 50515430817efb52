package member

import (
	"heatherlift.example/heatherlift/internal/config"
)

// Gossip is a message of the protocol, or the answer to one. Its JSON names are
// short because every instance sends one each interval, even without updates.
type Gossip struct {
	From string `json:"f"`
	// Table is the hash of the sender's records.
	Table uint64 `json:"t"`
	// RumourTable is the hash of the rumours that the sender holds.
	RumourTable uint64 `json:"u,omitempty"`
	// Push marks urgent updates sent outside the regular rounds. The answer
	// to a push carries no queued updates.
	Push bool `json:"p,omitempty"`

	// Records holds full records.
	Records []Record `json:"r,omitempty"`
	// Deltas holds deltas: the mutable fields of records that the receiver
	// probably has already.
	Deltas []DeltaGroup `json:"b,omitempty"`
	// Suspicions names instances that the sender suspects.
	Suspicions []Suspicion `json:"s,omitempty"`
	Rumours    []Rumour    `json:"m,omitempty"`

	// Buckets holds the hash of each bucket of the sender's table. The answer
	// carries a Digest of the buckets that differ.
	Buckets []uint64 `json:"h,omitempty"`
	Digest  *Digest  `json:"d,omitempty"`
	// WantRecords requests full records, WantDeltas deltas, by key.
	WantRecords []uint64 `json:"w,omitempty"`
	WantDeltas  []uint64 `json:"wb,omitempty"`

	// Probe asks the receiver to probe the instance with this ID. The answer
	// repeats the ID and reports in Reached whether the instance answered.
	Probe   string `json:"i,omitempty"`
	Reached bool   `json:"a,omitempty"`
}

// DeltaGroup is a group of deltas: records whose mutable fields are equal, apart
// from Seq. The other fields do not change while an instance runs.
type DeltaGroup struct {
	State   State       `json:"s,omitempty"`
	Version uint64      `json:"v,omitempty"`
	Root    config.Hash `json:"h,omitempty"`
	Refused uint64      `json:"x,omitempty"`
	Ready   bool        `json:"r,omitempty"`
	// SourceFailing is Record.SourceFailing.
	SourceFailing bool `json:"f,omitempty"`
	// Keys and Seqs are parallel slices with one element for each record.
	Keys []uint64 `json:"k"`
	Seqs []uint64 `json:"q"`
}

// matches reports whether the delta of the record belongs in the group.
func (b DeltaGroup) matches(r Record) bool {
	return b.State == r.State && b.Version == r.Version && b.Root == r.Root &&
		b.Refused == r.Refused && b.Ready == r.Ready && b.SourceFailing == r.SourceFailing
}

// Suspicion reports that an instance has been suspect for AgeMs milliseconds.
type Suspicion struct {
	Key   uint64 `json:"k"`
	Seq   uint64 `json:"q"`
	AgeMs int64  `json:"a"`
}

// Digest lists the records in the buckets with the indices Buckets. Keys, Seqs
// and States are parallel slices.
type Digest struct {
	Buckets []int    `json:"b"`
	Keys    []uint64 `json:"k"`
	Seqs    []uint64 `json:"q"`
	States  []State  `json:"s"`
	// More reports that further buckets differ that are not listed.
	More bool `json:"m,omitempty"`
}

// addDelta adds the delta of a record to the group with equal fields.
func (g *Gossip) addDelta(r Record) {
	for i := range g.Deltas {
		if b := &g.Deltas[i]; b.matches(r) {
			b.Keys = append(b.Keys, r.key())
			b.Seqs = append(b.Seqs, r.Seq)
			return
		}
	}
	g.Deltas = append(g.Deltas, DeltaGroup{
		State:   r.State,
		Version: r.Version,
		Root:    r.Root,
		Refused: r.Refused,
		Ready:   r.Ready,
		Keys:    []uint64{r.key()},
		Seqs:    []uint64{r.Seq},

		SourceFailing: r.SourceFailing,
	})
}
