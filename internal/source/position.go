package source

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the store. Revisions are comparable only
// within an era: a store that is restored from an older copy begins a new era and
// gives revisions out again.
type Position struct {
	// Era is 0 if the store names none.
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is older than o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// String returns the revision, with the era if there is one.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprintf("revision %d", p.Revision)
	}
	return fmt.Sprintf("era %d, revision %d", p.Era, p.Revision)
}

// Position returns the position of a listing.
func (l Listing) Position() Position { return Position{l.Era, l.Revision} }

// Position returns the position up to which the changes are complete.
func (c Changes) Position() Position { return Position{c.Era, c.Revision} }

// Position returns the position of the list that the requester holds.
func (r RelayRequest) Position() Position { return Position{r.Era, r.After} }

// Position returns the position of the list of the reply.
func (r RelayReply) Position() Position { return Position{r.Era, r.Revision} }

// Position returns the position at which the entry was written.
func (e Entry) Position() Position { return Position{e.Era, e.Revision} }
