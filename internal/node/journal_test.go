package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/member"
)

func TestViolationsDoNotFloodTheJournal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var j journal
	now := time.Unix(1_700_000_000, 0)
	j.addTransition(now, member.Transition{ID: "a", To: member.Suspect, Cause: "no answer"})
	for range 10 * journalCapacity {
		j.addViolation(now, "peer", "invalid record")
	}
	j.addViolation(now.Add(violationInterval), "peer", "invalid record")
	is.Equal(len(j.list()), 3)
	is.Equal(j.list()[0].What, "instance suspect")
}

func TestExcessTransitionsAreAggregated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var j journal
	j.addTransition(time.Unix(1_700_000_000, 0), member.Transition{More: 738})
	is.Equal(j.list()[0].What, "further instances changed state")
	is.Equal(j.list()[0].Cause, "738")
}
