package member

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"heatherlift.example/heatherlift/internal/source"
)

const (
	testInterval     = time.Second
	testSuspectAfter = 3 * time.Second
	testForgetAfter  = 5 * time.Minute
	testTick         = 100 * time.Millisecond
	// callTimeout and dialTimeout equal those of package peer.
	callTimeout = 5 * time.Second
	dialTimeout = 2 * time.Second
)

// network simulates a fleet: it runs a state machine for each instance in virtual
// time and delivers their messages.
type network struct {
	now   time.Time
	rng   *rand.Rand
	queue eventQueue
	seq   int
	nodes []*testNode
	byID  map[string]*testNode
	// openCalls maps the Call of each Received event to the message that it
	// delivers, until that is answered.
	openCalls map[uint64]openCall

	tick            time.Duration
	delay           time.Duration
	loss, duplicate float64
	// cut reports whether messages between two instances are lost.
	cut func(a, b *testNode) bool
	// check is called after every step.
	check func(n *testNode, effects []Effect)
	// measureTraffic enables the counters of messages and bytes.
	measureTraffic bool
}

type testNode struct {
	net *network
	m   *Members
	cfg Config
	// generation identifies the process. What was scheduled for an earlier
	// process of the instance is discarded.
	generation  int
	down        bool
	pausedUntil time.Time // the process is paused while this is in the future

	sentBytes, receivedBytes, sentMessages int
	learnt                                 map[string]int
	violations                             int
}

type scheduledEvent struct {
	at  time.Time
	seq int
	f   func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (n *network) after(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.queue, scheduledEvent{at: n.now.Add(d), seq: n.seq, f: f})
}

// run advances virtual time by d and runs the events that fall due.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		p := heap.Pop(&n.queue).(scheduledEvent)
		n.now = p.at
		p.f()
	}
	n.now = end
}

// runUntil advances virtual time until done returns true or the limit is reached.
// It returns the time that passed and the last result of done.
func (n *network) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := n.now
	for n.now.Sub(start) < limit {
		if done() {
			return n.now.Sub(start), true
		}
		n.run(testTick)
	}
	return n.now.Sub(start), done()
}

// newNetwork starts size instances in the given number of availability zones,
// which are divided between two regions.
func newNetwork(seed uint64, size, zones int) *network {
	n := &network{
		now:       epoch,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		byID:      make(map[string]*testNode),
		openCalls: make(map[uint64]openCall),
		tick:      testTick,
		delay:     time.Millisecond,
	}
	for i := range size {
		n.add(i, zones)
	}
	return n
}

func (n *network) add(i, zones int) *testNode {
	zone := i % zones
	region := "east"
	if zone >= (zones+1)/2 {
		region = "west"
	}
	node := &testNode{net: n, cfg: Config{
		Self: Record{
			ID:               fmt.Sprintf("service-%d-%d", i%41, i),
			Incarnation:      uint64(n.now.UnixNano() - n.rng.Int64N(int64(24*time.Hour))),
			Region:           region,
			AvailabilityZone: fmt.Sprintf("zone-%d", zone),
			Service:          fmt.Sprintf("service-%d", i%41),
			Calls:            []string{fmt.Sprintf("service-%d", (i+1)%41), fmt.Sprintf("service-%d", (i+2)%41)},
			PeerAddress:      fmt.Sprintf("10.%d.%d.1:8082", i/250, i%250),
			ForwardAddress:   fmt.Sprintf("10.%d.%d.1:8081", i/250, i%250),
			Slots:            10,
		},
		Interval:     testInterval,
		SuspectAfter: testSuspectAfter,
		ForgetAfter:  testForgetAfter,
		Seed:         n.rng.Uint64(),
	}}
	n.nodes = append(n.nodes, node)
	n.byID[node.cfg.Self.ID] = node
	node.start()
	return node
}

// start starts a new process of the instance.
func (t *testNode) start() {
	t.generation++
	t.down = false
	t.m = New(t.cfg)
	t.learnt = make(map[string]int)
	generation := t.generation
	var tick func()
	tick = func() {
		if t.generation != generation || t.down {
			return
		}
		t.step(Tick{})
		t.net.after(t.net.tick, tick)
	}
	t.net.after(time.Duration(t.net.rng.Int64N(int64(testTick))), tick)
}

func (t *testNode) id() string { return t.cfg.Self.ID }

// whenRunning calls f now, or at the end of the process's pause.
func (t *testNode) whenRunning(f func()) {
	if wait := t.pausedUntil.Sub(t.net.now); wait > 0 {
		t.net.after(wait, func() { t.whenRunning(f) })
		return
	}
	f()
}

// step applies an event and carries out its effects.
func (t *testNode) step(e Event) {
	generation := t.generation
	t.whenRunning(func() {
		if t.down || t.generation != generation {
			return
		}
		effects := t.m.Step(t.net.now, e)
		for _, effect := range effects {
			t.apply(effect)
		}
		if t.net.check != nil {
			t.net.check(t, effects)
		}
	})
}

func (t *testNode) apply(effect Effect) {
	switch e := effect.(type) {
	case Send:
		t.net.deliver(t, e)
	case Reply:
		t.net.answer(t, e)
	case RumourLearnt:
		t.learnt[e.Rumour.Key]++
	case ProtocolViolation:
		t.violations++
	}
}

// latency returns a random message delay. Its spread reorders messages.
func (n *network) latency() time.Duration {
	return n.delay + time.Duration(n.rng.Int64N(int64(n.delay)+1))
}

func (n *network) isLost(a, b *testNode) bool {
	return n.cut != nil && n.cut(a, b) || n.loss > 0 && n.rng.Float64() < n.loss
}

// openCall is a delivered message that waits for an answer.
type openCall struct {
	from       *testNode
	generation int
	send       Send
}

func (n *network) deliver(from *testNode, s Send) {
	n.countTraffic(from, nil, "gossip", s.Message)
	to := n.byID[s.To]
	failed := Failed{Call: s.Call, ID: s.To}
	switch {
	case to == nil:
		n.after(dialTimeout, func() { from.step(failed) })
		return
	case n.isLost(from, to):
		n.after(dialTimeout, func() { from.step(failed) })
		return
	case to.down:
		n.after(n.latency(), func() { from.step(failed) })
		return
	}
	n.after(callTimeout, func() { from.step(failed) })
	copies := 1
	if n.rng.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		n.seq++
		call := uint64(n.seq)
		n.openCalls[call] = openCall{from: from, generation: from.generation, send: s}
		n.after(n.latency(), func() {
			n.countTraffic(nil, to, "gossip", s.Message)
			to.step(Received{Call: call, Message: s.Message})
		})
	}
}

func (n *network) answer(from *testNode, r Reply) {
	o, ok := n.openCalls[r.Call]
	delete(n.openCalls, r.Call)
	n.countTraffic(from, nil, "", r.Message)
	if !ok || n.isLost(from, o.from) || o.from.generation != o.generation {
		return
	}
	n.after(n.latency(), func() {
		n.countTraffic(nil, o.from, "", r.Message)
		o.from.step(Answered{Call: o.send.Call, From: o.send.To, Message: r.Message})
	})
}

var encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(1<<17))

// frameSize returns the size of a message as package peer frames it. An empty
// method stands for an answer.
func frameSize(method string, g Gossip) int {
	var envelope any = struct {
		Method  string `json:"method"`
		Params  Gossip `json:"params"`
		ID      int    `json:"id"`
		Version string `json:"jsonrpc"`
	}{method, g, 100_000, "2.0"}
	if method == "" {
		envelope = struct {
			ID      int    `json:"id"`
			Result  Gossip `json:"result"`
			Version string `json:"jsonrpc"`
		}{100_000, g, "2.0"}
	}
	text, err := json.Marshal(envelope)
	if err != nil {
		panic(err)
	}
	const lengthBytes, compressFrom = 4, 512
	if len(text) >= compressFrom {
		text = encoder.EncodeAll(text, nil)
	}
	return lengthBytes + len(text)
}

func (n *network) countTraffic(from, to *testNode, method string, g Gossip) {
	if !n.measureTraffic {
		return
	}
	size := frameSize(method, g)
	if from != nil {
		from.sentBytes += size
		from.sentMessages++
	}
	if to != nil {
		to.receivedBytes += size
	}
}

// publishList gives every running instance a platform list of all instances
// except the absent ones.
func (n *network) publishList(absent ...string) {
	var instances []source.Instance
	for _, t := range n.nodes {
		omitted := false
		for _, id := range absent {
			omitted = omitted || id == t.id()
		}
		if !omitted {
			instances = append(instances, source.Instance{ID: t.id(), Address: t.cfg.Self.PeerAddress})
		}
	}
	for _, t := range n.nodes {
		t.step(Listed{Instances: instances})
	}
}

// converged reports whether all running instances have the same table, which holds
// the current record of every running instance as alive or leaving.
func (n *network) converged() bool {
	var hash uint64
	var first *testNode
	for _, t := range n.nodes {
		if t.down {
			continue
		}
		if first == nil {
			first, hash = t, t.m.table.hash
		}
		if t.m.table.hash != hash {
			return false
		}
		for _, o := range n.nodes {
			e := t.m.table.byID[o.id()]
			if !o.down && (e == nil || !e.live() || compare(e.Record, o.m.Self()) != 0) {
				return false
			}
		}
	}
	return true
}

// awaitConvergence runs until converged returns true, and returns the time that
// took.
func (n *network) awaitConvergence(t testing.TB, limit time.Duration) time.Duration {
	t.Helper()
	took, ok := n.runUntil(limit, n.converged)
	if !ok {
		t.Fatalf("not converged after %v", limit)
	}
	return took
}
