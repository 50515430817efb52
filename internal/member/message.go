package member

import (
	"heatherlift.example/heatherlift/internal/config"
)

// Gossip is a message of the protocol and its answer. Its names are short
// because a message without news is sent every interval.
type Gossip struct {
	From string `json:"f"`
	// Table is the hash of the sender's records.
	Table uint64 `json:"t"`
	// RumourTable is the hash of the sender's rumours.
	RumourTable uint64 `json:"u,omitempty"`
	// Push marks news sent at once; its answer carries no news.
	Push bool `json:"p,omitempty"`

	// Records holds whole records.
	Records []Record `json:"r,omitempty"`
	// Beats holds changes of records that the receiver is likely to know.
	Beats []Beats `json:"b,omitempty"`
	// Suspicions names instances that do not answer.
	Suspicions []Suspicion `json:"s,omitempty"`
	Rumours    []Rumour    `json:"m,omitempty"`

	// Buckets holds the hash of each bucket of records; the answer carries a
	// Digest of those that differ.
	Buckets []uint64 `json:"h,omitempty"`
	Digest  *Digest  `json:"d,omitempty"`
	// Want asks for whole records, WantBeats for changes, by key.
	Want      []uint64 `json:"w,omitempty"`
	WantBeats []uint64 `json:"wb,omitempty"`

	// Probe asks the receiver to probe this instance; the answer repeats it
	// and says in Reached whether the instance answered.
	Probe   string `json:"i,omitempty"`
	Reached bool   `json:"a,omitempty"`
}

// Beats is a set of records that agree in everything that changes while an
// instance runs.
type Beats struct {
	State   State       `json:"s,omitempty"`
	Version uint64      `json:"v,omitempty"`
	Root    config.Hash `json:"h,omitempty"`
	Refused uint64      `json:"x,omitempty"`
	Ready   bool        `json:"r,omitempty"`
	// SourceFailing is the field of the same name in the record.
	SourceFailing bool `json:"f,omitempty"`
	// Keys and Seqs run in parallel, one for each record.
	Keys []uint64 `json:"k"`
	Seqs []uint64 `json:"q"`
}

// covers reports whether the record belongs in the set.
func (b Beats) covers(r Record) bool {
	return b.State == r.State && b.Version == r.Version && b.Root == r.Root &&
		b.Refused == r.Refused && b.Ready == r.Ready && b.SourceFailing == r.SourceFailing
}

// Suspicion says that an instance did not answer for AgeMs milliseconds.
type Suspicion struct {
	Key   uint64 `json:"k"`
	Seq   uint64 `json:"q"`
	AgeMs int64  `json:"a"`
}

// Digest lists the records of the buckets Buckets, in parallel slices.
type Digest struct {
	Buckets []int    `json:"b"`
	Keys    []uint64 `json:"k"`
	Seqs    []uint64 `json:"q"`
	States  []State  `json:"s"`
	// More reports that other buckets differ too.
	More bool `json:"m,omitempty"`
}

// addBeat adds a change of a record.
func (g *Gossip) addBeat(r Record) {
	for i := range g.Beats {
		if b := &g.Beats[i]; b.covers(r) {
			b.Keys = append(b.Keys, r.key())
			b.Seqs = append(b.Seqs, r.Seq)
			return
		}
	}
	g.Beats = append(g.Beats, Beats{
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
