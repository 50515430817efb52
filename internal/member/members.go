package member

import (
	"math/rand/v2"
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

// Config holds the protocol's parameters.
type Config struct {
	Self Record
	// Interval is the time between two gossip rounds.
	Interval time.Duration
	// SuspectAfter is the time that a suspect instance has to refute the
	// suspicion. It then becomes partitioned, or dead after a multiple of
	// SuspectAfter.
	SuspectAfter time.Duration
	// ForgetAfter is the time after which a dead record is removed.
	ForgetAfter time.Duration
	// Seed seeds the random number generator.
	Seed uint64
}

const (
	// maxTransitions bounds the Transition effects of one step.
	maxTransitions = 32
	// pauseIntervals is the least gap since the last tick, as a multiple of
	// Config.Interval, that is taken for a pause of this process.
	pauseIntervals = 2
)

// Members is the membership state machine. The zero value is not usable; call
// New.
type Members struct {
	cfg     Config
	self    *entry
	table   table
	queue   queue
	rumours rumours
	// listed holds the platform's instance list by ID.
	listed map[string]source.Instance
	rng    *rand.Rand

	lastTick, lastRound, lastExpiry, lastPush time.Time
	// resumedAt is when this process started or last resumed after a pause.
	resumedAt time.Time
	// lastContact is when a message or answer of any peer last arrived.
	lastContact time.Time
	rounds      uint64

	nextCall     uint64
	pendingCalls map[uint64]*pendingCall
	// The following maps are keyed by instance ID. probeWaiters holds the calls
	// of peers that wait for the result of a delegated probe.
	indirectProbes map[string]*indirectProbe
	probeWaiters   map[string][]uint64
	reconnects     map[string]*reconnectBackoff

	neighbours      []*entry
	neighboursUntil time.Time
	// neighbourIndex is the position of the last round's peer in neighbours.
	neighbourIndex int
	// neighboursStale reports that a state has changed since the neighbours
	// were selected.
	neighboursStale bool

	exchange exchange

	// corrections holds the newer records of the sender of the current message.
	corrections []Record
	// viewChanged and transitions describe the current step: whether the view has
	// changed, and the number of state changes.
	viewChanged bool
	transitions int
	effects     []Effect
}

// New returns a membership list that holds only this instance.
func New(cfg Config) *Members {
	m := &Members{
		cfg:             cfg,
		table:           newTable(),
		queue:           newQueue(),
		rumours:         newRumours(),
		listed:          make(map[string]source.Instance),
		rng:             rand.New(rand.NewPCG(cfg.Seed, 0)),
		pendingCalls:    make(map[uint64]*pendingCall),
		indirectProbes:  make(map[string]*indirectProbe),
		probeWaiters:    make(map[string][]uint64),
		reconnects:      make(map[string]*reconnectBackoff),
		neighboursStale: true,
		exchange:        exchange{due: true},
	}
	m.self = m.table.put(cfg.Self)
	m.queue.add(&update{entry: m.self, full: true, urgent: true})
	return m
}

// Step applies an event at the given time and returns its effects.
func (m *Members) Step(now time.Time, e Event) []Effect {
	m.effects = nil
	m.viewChanged = false
	m.transitions = 0
	m.detectPause(now)
	switch e := e.(type) {
	case Tick:
		m.tick(now)
	case Listed:
		m.handleListed(now, e.Instances)
	case Received:
		m.handleReceived(now, e)
	case Answered:
		m.handleAnswered(now, e)
	case Failed:
		m.handleFailed(now, e)
	case VersionHeld:
		m.handleVersionHeld(e)
	case Leave:
		m.leave()
	case VersionRefused:
		m.handleVersionRefused(e.Version)
	case Publish:
		m.learnRumour(now, m.self.ID, e.Rumour)
	}
	m.push(now)
	m.finish()
	return m.effects
}

// finish emits the effects that summarise the step.
func (m *Members) finish() {
	if excess := m.transitions - maxTransitions; excess > 0 {
		m.emit(Transition{More: excess})
	}
	if m.viewChanged {
		m.emit(ViewChanged{})
	}
}

// Self returns this instance's record.
func (m *Members) Self() Record {
	return m.self.Record
}

// View returns the records of all known instances that are not dead, this one
// included, sorted by ID. Their states are those that this proxy sees.
func (m *Members) View() []Record {
	view := make([]Record, 0, len(m.table.sorted))
	for _, e := range m.table.sorted {
		if e.State != Dead {
			view = append(view, e.view())
		}
	}
	return view
}

func (m *Members) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// transition emits a Transition if the instance's state differs from the given
// earlier one.
func (m *Members) transition(e *entry, from State, cause string) {
	to := e.state()
	if from == to {
		return
	}
	m.viewChanged = true
	m.neighboursStale = true
	if m.transitions++; m.transitions <= maxTransitions {
		m.emit(Transition{ID: e.ID, From: from, To: to, Cause: cause})
	}
}

func (m *Members) tick(now time.Time) {
	if m.lastTick.IsZero() {
		m.lastContact = now
		m.resumedAt = now
		// A random phase keeps instances that start together from gossiping
		// in lockstep.
		m.lastRound = now.Add(-m.jitter(m.cfg.Interval))
	}
	m.lastTick = now
	m.expireCalls(now)
	m.expireStates(now)
	if now.Sub(m.lastRound) >= m.cfg.Interval {
		m.lastRound = now
		m.round(now)
		m.reconnect(now)
		m.probePartition(now)
	}
}

// jitter returns a random duration in [0, d).
func (m *Members) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// detectPause restarts all timers if this process has been paused. A peer that
// was silent during the pause is not at fault, so no timeout that ran then counts
// against it.
func (m *Members) detectPause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) < pauseIntervals*m.cfg.Interval {
		return
	}
	m.lastTick = now
	m.lastContact = now
	m.resumedAt = now
	clear(m.pendingCalls)
	clear(m.indirectProbes)
	clear(m.reconnects)
	m.failProbeWaiters()
	m.exchange.due = true
	m.lastRound = time.Time{}
	for _, e := range m.table.sorted {
		if !e.suspectedAt.IsZero() {
			e.suspectedAt = now
		}
	}
}

// updateSelf replaces this instance's record and raises its Seq, or its
// Incarnation when Seq is exhausted.
func (m *Members) updateSelf(r Record, full bool) {
	if r.Seq++; r.Seq > maxSeq {
		r.Incarnation++
		r.Seq = 0
		full = true
	}
	m.table.put(r)
	m.queue.add(&update{entry: m.self, full: full, urgent: true})
	m.viewChanged = true
}

func (m *Members) handleVersionHeld(e VersionHeld) {
	r := m.self.Record
	same := e.Version == r.Version && e.Root == r.Root
	if same && e.Ready == r.Ready && e.SourceFailing == r.SourceFailing {
		return
	}
	r.Version = e.Version
	r.Root = e.Root
	r.Ready = e.Ready
	r.SourceFailing = e.SourceFailing
	m.updateSelf(r, false)
}

func (m *Members) handleVersionRefused(v uint64) {
	r := m.self.Record
	if v <= r.Refused {
		return
	}
	r.Refused = v
	m.updateSelf(r, false)
}

func (m *Members) leave() {
	r := m.self.Record
	if r.State == Leaving {
		return
	}
	r.State = Leaving
	m.updateSelf(r, false)
}
