package dist

import (
	"container/heap"
	"encoding/json"
	"slices"
	"time"
)

// delivery is an event on its way to one life of a proxy.
type delivery struct {
	at   time.Time
	seq  int
	to   *proxy
	life uint64
	run  func(p *proxy) []Effect
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

// later queues an event for the present life of p.
func (n *network) later(after time.Duration, p *proxy, run func(p *proxy) []Effect) {
	n.seq++
	heap.Push(&n.queue, delivery{at: n.now.Add(after), seq: n.seq, to: p, life: p.life, run: run})
}

// send queues a message with delay, loss, duplication and reordering.
func (n *network) send(from, to *proxy, run func(p *proxy) []Effect) bool {
	if !n.reachable(from, to) || n.rng.Float64() < n.loss {
		return false
	}
	copies := 1
	if n.rng.Float64() < n.dup {
		copies = 2
	}
	for range copies {
		n.later(time.Millisecond+time.Duration(n.rng.Int64N(int64(n.delay))), to, run)
	}
	return true
}

func (n *network) deliver(x delivery) {
	p := x.to
	if !p.up || p.life != x.life {
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
	n.carryOut(p, x.run(p))
}

// pull carries a request and its reply, or reports the error after a while.
func (n *network) pull(p *proxy, e Pull) {
	request := viaJSON(p, e.Request)
	answered := false
	respond := func(to *proxy) []Effect {
		effects := to.d.Step(n.now, PullReceived{Call: e.Call, Request: request})
		for i, effect := range effects {
			reply, ok := effect.(ReplyPull)
			if !ok {
				continue
			}
			text := viaJSON(to, reply.Reply)
			answered = answered || n.send(to, p, func(p *proxy) []Effect {
				return p.d.Step(n.now, Pulled{Call: e.Call, From: to.id, Reply: text})
			})
			return slices.Delete(effects, i, i+1)
		}
		n.fail("no reply to a pull")
		return nil
	}
	if n.send(p, n.byID[e.To], respond) && n.rng.Float64() >= n.loss {
		return
	}
	n.later(testPullTimeout/2, p, func(p *proxy) []Effect {
		if answered {
			return nil
		}
		return p.d.Step(n.now, Pulled{Call: e.Call, From: e.To, Err: "unreachable"})
	})
}

// viaJSON copies a message as the transport does and counts its bytes.
func viaJSON[T any](from *proxy, v T) T {
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
