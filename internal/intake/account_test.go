package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func testLimits() Limits {
	l := Limits{Memory: 10 << 20, ClientMemory: 7 << 20, ConnectionMemory: 1 << 20, ClientShare: 0.75, SlowAfter: time.Second}
	for d := range l.Connections {
		l.Connections[d] = 16
	}
	return l
}

// opened is a connection of a test that records how it was ended.
type opened struct {
	*Conn
	ended, idle bool
}

func open(a *Account, remote string) (*opened, bool) {
	o := &opened{}
	conn, ok := a.Open(Callers, remote, func(idle bool) { o.ended, o.idle = true, idle })
	o.Conn = conn
	return o, ok
}

// begunAgo makes the client appear to have begun a message some time ago.
func (o *opened) begunAgo(d time.Duration) {
	o.messageSince.Store(time.Now().Add(-d).UnixNano())
}

func TestMemoryIsBoundedForTheProcessAndForOneClient(t *testing.T) {
	is := is.New(t)
	a := New(testLimits())
	first, _ := open(a, "10.0.0.1:1")
	second, _ := open(a, "10.0.0.1:2")
	other, _ := open(a, "10.0.0.2:1")
	lease, more, others := first.Lease(), second.Lease(), other.Lease()
	is.True(lease.Acquire(6 << 20))
	is.True(!more.Acquire(1 << 20)) // above the bound of the client
	is.True(others.Acquire(3 << 20))
	is.True(!others.Acquire(2 << 20)) // above the bound of the process
	others.Settle(1 << 20)
	is.True(others.Acquire(2 << 20))
	lease.Settle(0)
	is.True(more.Acquire(1 << 20))
	for _, c := range []*opened{first, second, other} {
		c.Close()
	}
	is.Equal(a.Usage().Memory, int64(0))
	is.Equal(a.Usage().Connections[Callers], 0)
	is.Equal(len(a.clients), 0)
}

func TestConnectionsToCloseForANewOne(t *testing.T) {
	const share = 10 // of the 14 connections that may stay, those of one client
	cases := []struct {
		name string
		// prepare changes the connections of the client that is at its bound.
		prepare func(held []*opened)
		remote  string
		ok      bool
		// closed is the index of the connection that is closed, -1 for none.
		closed int
		idle   bool
	}{
		{"the longest idle one", func(held []*opened) { held[3].idleSince = time.Now().Add(-time.Minute) }, "10.0.0.1:99", true, 3, true},
		{"one that is slow if none is idle", func(held []*opened) { busy(held); held[5].begunAgo(3 * time.Second) }, "10.0.0.1:99", true, 5, false},
		{"the slowest one", func(held []*opened) {
			busy(held)
			held[5].begunAgo(3 * time.Second)
			held[7].begunAgo(5 * time.Second)
		}, "10.0.0.1:99", true, 7, false},
		{"none that sends a message for a short time", func(held []*opened) { busy(held); held[5].begunAgo(time.Second / 2) }, "10.0.0.1:99", false, -1, false},
		{"none with a request on it", busy, "10.0.0.1:99", false, -1, false},
		{"none for another client, as there is room", busy, "10.0.0.2:99", true, -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := New(testLimits())
			var held []*opened
			for range share {
				o, ok := open(a, "10.0.0.1:1")
				is.True(ok)
				held = append(held, o)
			}
			c.prepare(held)
			_, ok := open(a, c.remote)
			is.Equal(ok, c.ok)
			for i, o := range held {
				is.Equal(o.ended, i == c.closed)
				is.True(!o.ended || o.idle == c.idle)
			}
		})
	}
}

// busy puts a request on each connection.
func busy(held []*opened) {
	for _, o := range held {
		o.Begin()
	}
}

func TestClientWithMostConnectionsMakesRoom(t *testing.T) {
	is := is.New(t)
	a := New(testLimits())
	var most []*opened
	for range 10 {
		o, _ := open(a, "10.0.0.1:1")
		most = append(most, o)
	}
	var few []*opened
	for range 4 {
		o, _ := open(a, "10.0.0.2:1")
		few = append(few, o)
	}
	_, ok := open(a, "10.0.0.3:1")
	is.True(ok)
	closed := 0
	for _, o := range most {
		if o.ended {
			closed++
		}
	}
	is.Equal(closed, 1)
	for _, o := range few {
		is.True(!o.ended)
	}
}

func TestSlowConnectionsThatHoldMostAreClosedForLackOfMemory(t *testing.T) {
	is := is.New(t)
	a := New(testLimits())
	conns := make([]*opened, 4)
	for i, held := range []int64{3 << 20, 2 << 20, 1 << 20, 1 << 20} {
		conns[i], _ = open(a, "10.0.0.1:1")
		lease := conns[i].Lease()
		lease.Take(held)
	}
	conns[0].Begin() // waits for this process, and is left alone
	conns[1].begunAgo(2 * time.Second)
	conns[2].begunAgo(2 * time.Second)
	conns[3].begunAgo(time.Millisecond)
	lease := conns[3].Lease()
	is.True(!lease.Acquire(1 << 20))
	is.True(!conns[0].ended)
	is.True(conns[1].ended && !conns[1].idle)
	is.True(!conns[2].ended) // the other one frees enough
	is.True(!conns[3].ended)
}

func TestReadingAheadEndsAtTheBoundOfAConnection(t *testing.T) {
	is := is.New(t)
	a := New(testLimits())
	c, _ := open(a, "10.0.0.1:1")
	is.True(c.MayReadAhead())
	lease := c.Lease()
	is.True(lease.Acquire(1 << 20))
	is.True(!c.MayReadAhead())
	lease.Settle(0)
	a.AddShared(6 << 20) // more than half of the memory of clients
	is.True(!c.MayReadAhead())
	a.AddShared(-6 << 20)
	is.True(c.MayReadAhead())
}

func TestClientsThatDoNotReadAreClosed(t *testing.T) {
	is := is.New(t)
	a := New(testLimits())
	blocked, _ := open(a, "10.0.0.1:1")
	reading, _ := open(a, "10.0.0.1:2")
	blocked.WriteBegun()
	reading.WriteBegun()
	reading.WriteEnded()
	a.CloseBlocked(time.Now().Add(31*time.Second), 30*time.Second)
	is.True(blocked.ended)
	is.True(!reading.ended)
}

func TestRequestsOfOneClientAreBoundedInAnOverload(t *testing.T) {
	is := is.New(t)
	l := testLimits()
	l.ClientRequests = 2
	a := New(l)
	crowd, _ := open(a, "10.0.0.1:1")
	other, _ := open(a, "10.0.0.2:1")
	crowd.Begin()
	crowd.Begin()
	is.True(crowd.MayBegin()) // no overload
	a.Overloaded(time.Now())
	is.True(!crowd.MayBegin())
	is.True(other.MayBegin())
	crowd.End()
	is.True(crowd.MayBegin())
	crowd.Begin()
	crowd.Close()
	crowd.End()
	again, _ := open(a, "10.0.0.1:2")
	is.True(again.MayBegin()) // those of a closed connection do not count
	a.Overloaded(time.Now().Add(-2 * overloadMemory))
	again.Begin()
	again.Begin()
	is.True(again.MayBegin()) // the overload is over
}

// Whatever the order of events, the account is the sum of what is held, stays within its
// bounds but for what is taken regardless of them, and is zero at the end.
func TestAccountIsTheSumOfWhatIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(testLimits())
		type request struct {
			conn  *opened
			lease *Lease
		}
		var conns []*opened
		var requests []request
		var taken int64
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				remote := rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}).Draw(t, "client")
				if o, ok := open(a, remote); ok {
					conns = append(conns, o)
				}
			case 1, 2:
				if len(conns) > 0 {
					o := rapid.SampledFrom(conns).Draw(t, "connection")
					lease := o.Lease()
					if lease.Acquire(rapid.Int64Range(0, 4<<20).Draw(t, "bytes")) {
						o.Begin()
						requests = append(requests, request{o, &lease})
					}
				}
			case 3:
				if len(requests) > 0 {
					n := rapid.Int64Range(0, 1<<20).Draw(t, "taken")
					rapid.SampledFrom(requests).Draw(t, "request").lease.Take(n)
					taken += n
				}
			case 4:
				if len(requests) > 0 {
					i := rapid.IntRange(0, len(requests)-1).Draw(t, "ended")
					requests[i].lease.Settle(0)
					requests[i].conn.End()
					requests = append(requests[:i], requests[i+1:]...)
				}
			case 5:
				if len(conns) > 0 {
					rapid.SampledFrom(conns).Draw(t, "slow").begunAgo(time.Minute)
				}
			case 6:
				if len(conns) > 0 {
					i := rapid.IntRange(0, len(conns)-1).Draw(t, "closed")
					conns[i].Close()
					conns = append(conns[:i], conns[i+1:]...)
				}
			}
			var sum int64
			for c := range a.conns {
				sum += c.memory
			}
			u := a.Usage()
			if sum != u.Memory || len(a.conns) != u.Connections[Callers] {
				t.Fatalf("held %d by %d connections, counted %d by %d", sum, len(a.conns), u.Memory, u.Connections[Callers])
			}
			if bound := a.limits.Memory + taken + int64(len(conns))*connectionCost; u.Memory > bound {
				t.Fatalf("held %d, at most %d allowed", u.Memory, bound)
			}
			if u.Connections[Callers] > a.limits.Connections[Callers] {
				t.Fatalf("%d connections, at most %d allowed", u.Connections[Callers], a.limits.Connections[Callers])
			}
		}
		for _, c := range conns {
			c.Close()
		}
		if u := a.Usage(); u.Memory != 0 || u.Connections[Callers] != 0 || len(a.clients) != 0 {
			t.Fatalf("%+v is held at the end", u)
		}
	})
}

func TestNilAccountRefusesNothing(t *testing.T) {
	is := is.New(t)
	var a *Account
	c, ok := a.Open(Callers, "10.0.0.1:1", func(bool) {})
	is.True(ok)
	lease := c.Lease()
	is.True(lease.Acquire(1 << 40))
	lease.Settle(0)
	c.Begin()
	c.End()
	c.Close()
}
