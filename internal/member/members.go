package member

import (
	"math/rand/v2"
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

// Config sets the protocol's parameters.
type Config struct {
	Self Record
	// Interval is the time between two gossip rounds.
	Interval time.Duration
	// SuspectAfter is the time that a suspect has to refute; then it counts as
	// partitioned, or after a multiple of it as dead.
	SuspectAfter time.Duration
	// ForgetAfter is the time after which a dead record is dropped.
	ForgetAfter time.Duration
	// Seed seeds the choice of gossip targets.
	Seed uint64
}

const (
	// maxTransitions bounds the Transition effects of one step.
	maxTransitions = 32
	// pauseRounds is the gap between two ticks, in intervals, from which this
	// process is taken to have been paused.
	pauseRounds = 2
)

// Members is the state machine. The zero value is not usable.
type Members struct {
	cfg     Config
	me      *entry
	table   table
	queue   queue
	rumours rumours
	listed  map[string]source.Instance
	rng     *rand.Rand

	lastTick, lastRound, lastExpiry, lastPush time.Time
	// woke is when this process started or last ran again after a pause.
	woke time.Time
	// lastContact is when a peer was last heard.
	lastContact time.Time
	rounds      uint64

	nextCall    uint64
	outstanding map[uint64]*sent
	inquiries   map[string]*inquiry
	asks        map[string][]uint64
	retries     map[string]*retry

	neighbours      []*entry
	neighboursUntil time.Time
	neighbour       int
	reachChanged    bool

	exchange exchange

	corrections []Record
	changed     bool
	transitions int
	effects     []Effect
}

// New returns a list that holds only this instance.
func New(cfg Config) *Members {
	m := &Members{
		cfg:          cfg,
		table:        newTable(),
		queue:        newQueue(),
		rumours:      newRumours(),
		listed:       make(map[string]source.Instance),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		outstanding:  make(map[uint64]*sent),
		inquiries:    make(map[string]*inquiry),
		asks:         make(map[string][]uint64),
		retries:      make(map[string]*retry),
		reachChanged: true,
		exchange:     exchange{due: true},
	}
	m.me = m.table.put(cfg.Self)
	m.queue.add(&update{entry: m.me, whole: true, hot: true})
	return m
}

// Step applies an event at the given time and returns its effects.
func (m *Members) Step(now time.Time, e Event) []Effect {
	m.effects = nil
	m.changed = false
	m.transitions = 0
	m.notePause(now)
	switch e := e.(type) {
	case Tick:
		m.tick(now)
	case Listed:
		m.list(now, e.Instances)
	case Received:
		m.received(now, e)
	case Answered:
		m.answered(now, e)
	case Failed:
		m.failed(now, e)
	case InForce:
		m.inForce(e)
	case Leave:
		m.leave()
	case Refused:
		m.refusedVersion(e.Version)
	case Publish:
		m.learnRumour(now, m.me.ID, e.Rumour)
	}
	m.push(now)
	m.finish()
	return m.effects
}

// finish emits what sums up the step.
func (m *Members) finish() {
	if more := m.transitions - maxTransitions; more > 0 {
		m.emit(Transition{More: more})
	}
	if m.changed {
		m.emit(Changed{})
	}
}

// Self returns this instance's record.
func (m *Members) Self() Record {
	return m.me.Record
}

// View returns the records of all known instances but the dead, this one
// included, sorted by ID.
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

// transition reports that an instance's state changed from the given one.
func (m *Members) transition(e *entry, from State, cause string) {
	to := e.state()
	if from == to {
		return
	}
	m.changed = true
	m.reachChanged = true
	if m.transitions++; m.transitions <= maxTransitions {
		m.emit(Transition{ID: e.ID, From: from, To: to, Cause: cause})
	}
}

func (m *Members) tick(now time.Time) {
	if m.lastTick.IsZero() {
		m.lastContact = now
		m.woke = now
		// Start at a random phase, so that instances do not gossip in step.
		m.lastRound = now.Add(-m.jitter(m.cfg.Interval))
	}
	m.lastTick = now
	m.expireCalls(now)
	m.expireStates(now)
	if now.Sub(m.lastRound) >= m.cfg.Interval {
		m.lastRound = now
		m.round(now)
		m.heal(now)
		m.probePartition(now)
	}
}

// jitter returns a random time from 0 to below d.
func (m *Members) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// notePause starts all timers anew if this process did not run for a while:
// what it last knew says nothing about the others.
func (m *Members) notePause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) < pauseRounds*m.cfg.Interval {
		return
	}
	m.lastTick = now
	m.lastContact = now
	m.woke = now
	clear(m.outstanding)
	clear(m.inquiries)
	clear(m.retries)
	m.releaseAsks()
	m.exchange.due = true
	m.lastRound = time.Time{}
	for _, e := range m.table.sorted {
		if !e.suspected.IsZero() {
			e.suspected = now
		}
	}
}

// updateSelf replaces this instance's record by a newer one.
func (m *Members) updateSelf(r Record, whole bool) {
	if r.Seq++; r.Seq > maxSeq {
		r.Incarnation++
		r.Seq = 0
		whole = true
	}
	m.table.put(r)
	m.queue.add(&update{entry: m.me, whole: whole, hot: true})
	m.changed = true
}

func (m *Members) inForce(e InForce) {
	r := m.me.Record
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

func (m *Members) refusedVersion(v uint64) {
	r := m.me.Record
	if v <= r.Refused {
		return
	}
	r.Refused = v
	m.updateSelf(r, false)
}

func (m *Members) leave() {
	r := m.me.Record
	if r.State == Leaving {
		return
	}
	r.State = Leaving
	m.updateSelf(r, false)
}
