package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

func (b *bench) fence(request string, age time.Duration) FenceState {
	for _, e := range b.step(FenceReceived{Fence: Fence{Request: request, Incarnation: b.a.cfg.Incarnation, Age: age}}) {
		if reply, ok := e.(ReplyFence); ok {
			return reply.Reply.State
		}
	}
	return ""
}

func TestFenceProvesNotRun(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 1, QueueLength: 10, Incarnation: 7})
	is.Equal(b.fence("late", time.Second), FenceFenced)
	_, effects := b.arrive("late", 0)
	is.Equal(reasons(effects)[outcome.Fenced], 1) // a fenced request is refused when it arrives
	running, _ := b.arrive("running", 0)
	b.arrive("waiting", 0)
	is.Equal(b.fence("running", time.Second), FenceRunning)
	is.Equal(b.fence("waiting", time.Second), FenceNotRun)
	is.Equal(len(b.end(running, outcome.Answered, "")), 0) // the fenced request does not run
	_, effects = b.arrive("waiting", 0)
	is.Equal(reasons(effects)[outcome.Fenced], 1) // nor when it arrives once more
	is.Equal(b.fence("running", time.Second), FenceEnded)
}

func TestFenceOfAnotherIncarnationProvesNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 1, QueueLength: 10, Incarnation: 7})
	effects := b.step(FenceReceived{Fence: Fence{Request: "1", Incarnation: 6}})
	is.Equal(effects[0], ReplyFence{Reply: FenceReply{State: FenceUnknown}})
}

func TestFenceOfAForgottenRequestProvesNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 1, QueueLength: 10, RequestLimit: 5})
	for i := range 20 {
		is.True(b.serve(strconv.Itoa(i)))
		b.after(time.Second, Tick{})
	}
	is.Equal(b.fence("0", 20*time.Second), FenceUnknown)
	is.Equal(b.fence("never", 20*time.Second), FenceUnknown) // it may have been one of the forgotten
	b.after(requestRetention, Tick{})
	is.Equal(b.fence("old", requestRetention), FenceUnknown)
	is.Equal(b.fence("never", time.Second), FenceFenced)
}

func TestFencedRequestsAreNotForgotten(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 1, QueueLength: 10, RequestLimit: 10})
	fenced := 0
	for i := range 20 {
		if b.fence("lost"+strconv.Itoa(i), time.Second).NotRun() {
			fenced++
		}
	}
	is.Equal(fenced, 5) // beyond the limit the answer is unknown
	for i := range 50 {
		b.serve(strconv.Itoa(i))
		b.after(time.Second, Tick{})
	}
	_, effects := b.arrive("lost0", 0)
	is.Equal(reasons(effects)[outcome.Fenced], 1)
}

func crashed(effects []Effect) []uint64 {
	for _, e := range effects {
		if c, ok := e.(Crashed); ok {
			return c.Fingerprints
		}
	}
	return nil
}

func TestCrashNamesTheRequestsInFlight(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 8, QueueLength: 10})
	first, _ := b.arrive("1", 11)
	second, _ := b.arrive("2", 22)
	is.Equal(crashed(b.end(first, outcome.Unknown, outcome.ConnectionLost)), nil) // no proof yet
	is.Equal(crashed(b.after(time.Second, Checked{Health: Unreachable})), []uint64{11, 22})
	is.Equal(crashed(b.end(second, outcome.Unknown, outcome.Crashed)), nil) // one crash is reported once
}

func TestLostConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 8, QueueLength: 10})
	lost, _ := b.arrive("1", 11)
	b.end(lost, outcome.Unknown, outcome.ConnectionLost)
	b.now = b.now.Add(time.Millisecond)
	is.True(b.serve("2")) // the backend server outlived it
	is.Equal(crashed(b.after(time.Second, Checked{Health: Unreachable})), nil)
}
