package dedupe

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

const (
	tickEvery     = 100 * time.Millisecond
	maxLatency    = 40 * time.Millisecond
	maxViewLag    = time.Second
	detectionTime = 3 * time.Second
)

// delivery is a pending action of the simulated network.
type delivery struct {
	at  time.Time
	seq int
	do  func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// machine is one instance; a restart replaces the state machine.
type machine struct {
	id    string
	d     *Dedupe
	start int
	up    bool
}

// network carries the messages of a few machines in virtual time.
type network struct {
	rng      *rand.Rand
	now      time.Time
	pending  deliveries
	seq      int
	machines map[string]*machine
	members  []string
	// loss is the part of messages that are lost.
	loss float64
	// duplicate is the part of claims that arrive twice.
	duplicate float64
	decided   func(m *machine, e Decided)
	nextCall  uint64
	replies   map[uint64]func(any)
}

func newNetwork(seed uint64, loss, duplicate float64, ids ...string) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, loss: loss, duplicate: duplicate,
		machines: make(map[string]*machine), members: ids, replies: make(map[uint64]func(any)),
	}
	for _, id := range ids {
		n.start(id)
	}
	n.spread(0)
	n.every(tickEvery, func() {
		for _, id := range slices.Clone(n.members) {
			n.step(n.machines[id], Tick{})
		}
	})
	return n
}

func (n *network) after(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.pending, delivery{at: n.now.Add(d), seq: n.seq, do: do})
}

func (n *network) every(d time.Duration, do func()) {
	n.after(d, func() { do(); n.every(d, do) })
}

func (n *network) latency() time.Duration {
	return time.Duration(n.rng.Int64N(int64(maxLatency)))
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.pending) > 0 && !n.pending[0].at.After(end) {
		next := heap.Pop(&n.pending).(delivery)
		n.now = next.at
		next.do()
	}
	n.now = end
}

// start begins a new life of a machine.
func (n *network) start(id string) {
	m, ok := n.machines[id]
	if !ok {
		m = &machine{id: id}
		n.machines[id] = m
	}
	m.start++
	m.up = true
	m.d = New(Config{Self: id, Origin: id + "-" + strconv.Itoa(m.start), Service: "s"})
}

func (n *network) peer(id string) Peer {
	return Peer{ID: id, AvailabilityZone: "zone-" + id[len(id)-1:], Address: id}
}

// spread tells every machine of the members, each after a lag of its own.
func (n *network) spread(lag time.Duration) {
	var peers []Peer
	for _, id := range n.members {
		peers = append(peers, n.peer(id))
	}
	for _, id := range n.members {
		d := time.Duration(0)
		if lag > 0 {
			d = time.Duration(n.rng.Int64N(int64(lag)))
		}
		n.after(d, func() { n.step(n.machines[id], PeersChanged{Peers: peers}) })
	}
}

func (n *network) join(id string) {
	n.members = append(slices.Clone(n.members), id)
	n.start(id)
	n.spread(maxViewLag)
}

func (n *network) leave(id string) {
	n.machines[id].up = false
	n.members = slices.DeleteFunc(slices.Clone(n.members), func(m string) bool { return m == id })
	n.after(detectionTime, func() { n.spread(maxViewLag) })
}

func (n *network) restart(id string) {
	n.machines[id].up = false
	n.after(time.Duration(n.rng.Int64N(int64(2*time.Second))), func() {
		n.start(id)
		n.spread(maxViewLag)
	})
}

func (n *network) step(m *machine, e Event) {
	if !m.up {
		return
	}
	for _, effect := range m.d.Step(n.now, e) {
		n.carryOut(m, effect)
	}
}

func (n *network) carryOut(m *machine, e Effect) {
	switch e := e.(type) {
	case AskClaim:
		n.ask(m, e.To, func(call uint64) Event { return ClaimReceived{Call: call, Request: e.Request} }, func(reply any) Event {
			if reply == nil {
				return ClaimAnswered{ID: e.ID, From: e.To, Holder: e.Request.Holder, Failed: true}
			}
			return ClaimAnswered{ID: e.ID, From: e.To, Holder: e.Request.Holder, Reply: reply.(ClaimReply)}
		})
	case AskSync:
		n.ask(m, e.To, func(call uint64) Event { return SyncReceived{Call: call, Request: e.Request} }, func(reply any) Event {
			if reply == nil {
				return SyncAnswered{From: e.To, Failed: true}
			}
			return SyncAnswered{From: e.To, Reply: reply.(SyncReply)}
		})
	case Tell:
		if n.rng.Float64() >= n.loss {
			n.after(n.latency(), func() { n.step(n.machines[e.Address], Settled{Settlement: e.Settlement}) })
		}
	case ReplyClaim:
		n.reply(e.Call, e.Reply)
	case ReplySync:
		n.reply(e.Call, e.Reply)
	case Decided:
		n.decided(m, e)
	}
}

// ask carries a question and its answer; either may be lost, and the question
// may arrive twice.
func (n *network) ask(m *machine, to string, question func(call uint64) Event, answer func(reply any) Event) {
	life := m.start
	n.nextCall++
	call := n.nextCall
	done := false
	finish := func(reply any) {
		if !done && m.start == life {
			done = true
			n.step(m, answer(reply))
		}
	}
	n.replies[call] = func(reply any) {
		if n.rng.Float64() >= n.loss {
			n.after(n.latency(), func() { finish(reply) })
		}
	}
	n.after(time.Second, func() { finish(nil) })
	target, ok := n.machines[to]
	if !ok || !target.up {
		n.after(n.latency(), func() { finish(nil) })
		return
	}
	copies := 1
	if n.rng.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		if n.rng.Float64() >= n.loss {
			n.after(n.latency(), func() { n.step(target, question(call)) })
		}
	}
}

func (n *network) reply(call uint64, reply any) {
	if f := n.replies[call]; f != nil {
		f(reply)
	}
}
