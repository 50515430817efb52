package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that arrived during a shutdown and still waited somewhere at its end lost
// its connection. It gets a deadline before that end, so that it has a response by then;
// a shutdown that ends later changes nothing.
func TestRequestDuringShutdownHasADeadlineBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	for left, want := range map[time.Duration]time.Duration{400 * time.Millisecond: 400 * time.Millisecond, time.Minute: time.Second} {
		r := newTestRouter(2)
		e := read(1)
		e.NotAfter = start.Add(left)
		out := r.Step(start, e)
		is.Equal(len(out), 1)
		is.Equal(out[0].(Send).Deadline, start.Add(want))
	}
}
