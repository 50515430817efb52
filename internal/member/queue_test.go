package member

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func entryUpdate(id string) *update {
	return &update{entry: &entry{Record: Record{ID: id}}}
}

func TestQueueKeepsBudgetAndLimit(t *testing.T) {
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
	is.Equal(len(q.updates), 0) // each was sent twice
	is.Equal(len(q.bySubject), 0)
}

func TestQueueReplacesOlderNewsOfTheSameSubject(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	first := entryUpdate("a")
	first.whole, first.hot = true, true
	q.add(first)
	q.add(entryUpdate("a"))
	taken := q.take(roundBudget, 1, 5, false)
	is.Equal(len(taken), 1)
	is.True(taken[0].whole) // nobody has the whole record yet
	is.Equal(q.hot, 0)
}

func TestSettledQueueKeepsHotNewsAndSuspicions(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.add(entryUpdate("cold"))
	hot := entryUpdate("hot")
	hot.hot = true
	q.add(hot)
	q.add(&update{suspect: &entry{Record: Record{ID: "suspect"}}})
	q.settle()
	is.Equal(len(q.updates), 2)
	is.Equal(len(q.take(pushBudget, 3, 9, true)), 1)
}
