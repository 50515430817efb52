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
	tickInterval = 100 * time.Millisecond
	// maxLatency bounds the delay of a message.
	maxLatency = 40 * time.Millisecond
	// maxViewDelay bounds the delay with which an instance gets a new view.
	maxViewDelay = time.Second
	// detectionTime is the time after which an instance that has stopped is
	// removed from the view.
	detectionTime = 3 * time.Second
)

// scheduledAction is an action that the simulated network runs at a set time.
type scheduledAction struct {
	at  time.Time
	seq int
	run func()
}

type actionQueue []scheduledAction

func (d actionQueue) Len() int { return len(d) }
func (d actionQueue) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].seq < d[j].seq
}
func (d actionQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *actionQueue) Push(x any)   { *d = append(*d, x.(scheduledAction)) }
func (d *actionQueue) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// instance is a simulated instance; a restart replaces its state machine.
type instance struct {
	id          string
	d           *Dedupe
	incarnation int
	up          bool
}

// network simulates the network between instances in virtual time.
type network struct {
	rng       *rand.Rand
	now       time.Time
	queue     actionQueue
	seq       int
	instances map[string]*instance
	members   []string
	// loss is the fraction of messages that are lost.
	loss float64
	// duplicate is the fraction of requests that are delivered twice.
	duplicate float64
	decided   func(inst *instance, e Decided)
	nextCall  uint64
	replies   map[uint64]func(any)
}

func newNetwork(seed uint64, loss, duplicate float64, ids ...string) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, loss: loss, duplicate: duplicate,
		instances: make(map[string]*instance), members: ids, replies: make(map[uint64]func(any)),
	}
	for _, id := range ids {
		n.start(id)
	}
	n.broadcastView(0)
	n.every(tickInterval, func() {
		for _, id := range slices.Clone(n.members) {
			n.step(n.instances[id], Tick{})
		}
	})
	return n
}

func (n *network) after(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.queue, scheduledAction{at: n.now.Add(d), seq: n.seq, run: do})
}

func (n *network) every(d time.Duration, do func()) {
	n.after(d, func() { do(); n.every(d, do) })
}

func (n *network) latency() time.Duration {
	return time.Duration(n.rng.Int64N(int64(maxLatency)))
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(scheduledAction)
		n.now = next.at
		next.run()
	}
	n.now = end
}

// start starts an instance with an empty state, under a new incarnation.
func (n *network) start(id string) {
	inst, ok := n.instances[id]
	if !ok {
		inst = &instance{id: id}
		n.instances[id] = inst
	}
	inst.incarnation++
	inst.up = true
	inst.d = New(Config{Self: id, RunID: id + "-" + strconv.Itoa(inst.incarnation), Service: "s"})
}

func (n *network) peer(id string) Peer {
	return Peer{ID: id, AvailabilityZone: "zone-" + id[len(id)-1:], Address: id}
}

// broadcastView sends the members to every instance, each after a random delay of
// less than maxDelay.
func (n *network) broadcastView(maxDelay time.Duration) {
	var peers []Peer
	for _, id := range n.members {
		peers = append(peers, n.peer(id))
	}
	for _, id := range n.members {
		delay := time.Duration(0)
		if maxDelay > 0 {
			delay = time.Duration(n.rng.Int64N(int64(maxDelay)))
		}
		n.after(delay, func() { n.step(n.instances[id], PeersChanged{Peers: peers}) })
	}
}

func (n *network) join(id string) {
	n.members = append(slices.Clone(n.members), id)
	n.start(id)
	n.broadcastView(maxViewDelay)
}

// leave stops an instance; the others get the new view after detectionTime.
func (n *network) leave(id string) {
	n.instances[id].up = false
	n.members = slices.DeleteFunc(slices.Clone(n.members), func(member string) bool { return member == id })
	n.after(detectionTime, func() { n.broadcastView(maxViewDelay) })
}

func (n *network) restart(id string) {
	n.instances[id].up = false
	n.after(time.Duration(n.rng.Int64N(int64(2*time.Second))), func() {
		n.start(id)
		n.broadcastView(maxViewDelay)
	})
}

func (n *network) step(inst *instance, e Event) {
	if !inst.up {
		return
	}
	for _, effect := range inst.d.Step(n.now, e) {
		n.execute(inst, effect)
	}
}

func (n *network) execute(inst *instance, e Effect) {
	switch e := e.(type) {
	case SendClaim:
		n.call(inst, e.To, func(call uint64) Event { return ClaimReceived{Call: call, Request: e.Request} }, func(reply any) Event {
			if reply == nil {
				return ClaimAnswered{ID: e.ID, From: e.To, Holder: e.Request.Holder, Failed: true}
			}
			return ClaimAnswered{ID: e.ID, From: e.To, Holder: e.Request.Holder, Reply: reply.(ClaimReply)}
		})
	case SendSyncRequest:
		n.call(inst, e.To, func(call uint64) Event { return SyncReceived{Call: call, Request: e.Request} }, func(reply any) Event {
			if reply == nil {
				return SyncAnswered{From: e.To, Failed: true}
			}
			return SyncAnswered{From: e.To, Reply: reply.(SyncReply)}
		})
	case SendSettlement:
		if n.rng.Float64() >= n.loss {
			n.after(n.latency(), func() { n.step(n.instances[e.Address], Settled{Settlement: e.Settlement}) })
		}
	case ReplyClaim:
		n.reply(e.Call, e.Reply)
	case ReplySync:
		n.reply(e.Call, e.Reply)
	case Decided:
		n.decided(inst, e)
	}
}

// call delivers a request and its reply. Either may be lost, and the request may
// be delivered twice. The call fails if the target is down or no reply arrives
// within 1 s.
func (n *network) call(caller *instance, to string, request func(call uint64) Event, result func(reply any) Event) {
	incarnation := caller.incarnation
	n.nextCall++
	call := n.nextCall
	done := false
	finish := func(reply any) {
		if !done && caller.incarnation == incarnation {
			done = true
			n.step(caller, result(reply))
		}
	}
	n.replies[call] = func(reply any) {
		if n.rng.Float64() >= n.loss {
			n.after(n.latency(), func() { finish(reply) })
		}
	}
	n.after(time.Second, func() { finish(nil) })
	target, ok := n.instances[to]
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
			n.after(n.latency(), func() { n.step(target, request(call)) })
		}
	}
}

func (n *network) reply(call uint64, reply any) {
	if f := n.replies[call]; f != nil {
		f(reply)
	}
}
