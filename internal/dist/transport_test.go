package dist

import (
	"container/heap"
	"encoding/json"
	"slices"
	"time"
)

// delivery is an event in transit to one incarnation of a proxy.
type delivery struct {
	at          time.Time
	seq         int
	to          *proxy
	incarnation uint64
	handle      func(p *proxy) []Effect
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule queues an event for the current incarnation of p.
func (n *network) schedule(after time.Duration, p *proxy, handle func(p *proxy) []Effect) {
	n.seq++
	heap.Push(&n.queue, delivery{at: n.now.Add(after), seq: n.seq, to: p, incarnation: p.incarnation, handle: handle})
}

// send queues a message, subject to delay, loss, duplication and reordering. It
// reports whether the message was sent.
func (n *network) send(from, to *proxy, handle func(p *proxy) []Effect) bool {
	if !n.reachable(from, to) || n.rng.Float64() < n.loss {
		return false
	}
	copies := 1
	if n.rng.Float64() < n.duplication {
		copies = 2
	}
	for range copies {
		n.schedule(time.Millisecond+time.Duration(n.rng.Int64N(int64(n.delay))), to, handle)
	}
	return true
}

func (n *network) deliver(x delivery) {
	p := x.to
	if !p.up || p.incarnation != x.incarnation {
		return
	}
	if p.pausedUntil.After(x.at) {
		x.at = p.pausedUntil
		heap.Push(&n.queue, x)
		return
	}
	if x.at.After(n.now) {
		n.now = x.at
	}
	n.applyEffects(p, x.handle(p))
}

// pull delivers a request and its reply, or reports an error after half of the
// pull timeout.
func (n *network) pull(p *proxy, e Pull) {
	request := roundTripJSON(p, e.Request)
	answered := false
	respond := func(to *proxy) []Effect {
		effects := to.d.Step(n.now, PullReceived{Call: e.Call, Request: request})
		for i, effect := range effects {
			reply, ok := effect.(ReplyPull)
			if !ok {
				continue
			}
			message := roundTripJSON(to, reply.Reply)
			answered = answered || n.send(to, p, func(p *proxy) []Effect {
				return p.d.Step(n.now, Pulled{Call: e.Call, From: to.id, Reply: message})
			})
			return slices.Delete(effects, i, i+1)
		}
		n.fail("pull request was not answered")
		return nil
	}
	if n.send(p, n.byID[e.To], respond) && n.rng.Float64() >= n.loss {
		return
	}
	n.schedule(testPullTimeout/2, p, func(p *proxy) []Effect {
		if answered {
			return nil
		}
		return p.d.Step(n.now, Pulled{Call: e.Call, From: e.To, Err: "unreachable"})
	})
}

// roundTripJSON encodes and decodes a message as the transport does and counts
// its bytes.
func roundTripJSON[T any](from *proxy, v T) T {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	from.bytes += len(text)
	var out T
	if err := json.Unmarshal(text, &out); err != nil {
		panic(err)
	}
	return out
}
