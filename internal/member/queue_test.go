package member

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func entryUpdate(id string) *update {
	return &update{entry: &entry{Record: Record{ID: id}}}
}

func TestQueueRespectsBudgetAndSendLimit(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for i := range 100 {
		q.add(entryUpdate(fmt.Sprint("i", i)))
	}
	first := q.take(roundBudget, 1, 2, false)
	is.Equal(len(first), roundBudget)
	is.Equal(first[0].entry.ID, "i99") // newest first
	for range 4 {
		q.take(roundBudget, 1, 2, false)
	}
	is.Equal(len(q.updates), 0) // all have reached the send limit
	is.Equal(len(q.bySubject), 0)
}

func TestQueueReplacesOlderUpdateOfTheSameSubject(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	first := entryUpdate("a")
	first.full, first.urgent = true, true
	q.add(first)
	q.add(entryUpdate("a"))
	taken := q.take(roundBudget, 1, 5, false)
	is.Equal(len(taken), 1)
	is.True(taken[0].full) // the full record has not been sent yet
	is.Equal(q.urgent, 0)
}

func TestDropSyncedKeepsUrgentUpdatesAndSuspicions(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.add(entryUpdate("cold"))
	urgent := entryUpdate("hot")
	urgent.urgent = true
	q.add(urgent)
	q.add(&update{suspect: &entry{Record: Record{ID: "suspect"}}})
	q.dropSynced()
	is.Equal(len(q.updates), 2)
	is.Equal(len(q.take(pushBudget, 3, 9, true)), 1)
}
