package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// Config sets the protocol's parameters.
type Config struct {
	Self Record
	// Interval is the time between two gossip rounds.
	Interval time.Duration
	// SuspectAfter is the time after which a suspect counts as dead.
	SuspectAfter time.Duration
	// ForgetAfter is the time after which a dead record is dropped.
	ForgetAfter time.Duration
	// Seed seeds the choice of gossip targets.
	Seed uint64
}

// Event is an input of the state machine.
type Event interface{ memberEvent() }

// Events.
type (
	// Tick passes time.
	Tick struct{}
	// Listed is a new reading of the platform's list.
	Listed struct{ Instances []source.Instance }
	// Received is a gossip message of a peer; the effect Reply answers it.
	Received struct {
		Call    uint64
		Message Gossip
	}
	// Answered is the answer to a gossip message.
	Answered struct{ Message Gossip }
	// Failed reports that a peer did not answer.
	Failed struct{ ID string }
	// InForce is a change of the version in force here.
	InForce struct {
		Version uint64
		Root    config.Hash
		Ready   bool
		// SourceFailing is the flag of the same name in the record.
		SourceFailing bool
	}
	// Leave marks this instance as leaving.
	Leave struct{}
)

func (Tick) memberEvent()     {}
func (Listed) memberEvent()   {}
func (Received) memberEvent() {}
func (Answered) memberEvent() {}
func (Failed) memberEvent()   {}
func (InForce) memberEvent()  {}
func (Leave) memberEvent()    {}

// Effect is an output of the state machine.
type Effect interface{ memberEffect() }

// Effects.
type (
	// Send sends a gossip message; the host reports Answered or Failed.
	Send struct {
		To, Address string
		Message     Gossip
	}
	// Reply answers the message with the same Call.
	Reply struct {
		Call    uint64
		Message Gossip
	}
	// Changed reports a new view.
	Changed struct{}
	// Transition reports a change of an instance's state.
	Transition struct {
		ID       string
		From, To State
		Cause    string
	}
)

func (Send) memberEffect()       {}
func (Reply) memberEffect()      {}
func (Changed) memberEffect()    {}
func (Transition) memberEffect() {}

// entry is a record with the time of its last change of state.
type entry struct {
	Record
	since time.Time
}

// Members is the state machine. The zero value is not usable.
type Members struct {
	cfg      Config
	self     Record
	entries  map[string]*entry
	listed   map[string]source.Instance
	rng      *rand.Rand
	lastSent time.Time
	changed  bool
	effects  []Effect
}

// New returns a list that holds only this instance.
func New(cfg Config) *Members {
	return &Members{
		cfg:     cfg,
		self:    cfg.Self,
		entries: make(map[string]*entry),
		listed:  make(map[string]source.Instance),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Step applies an event at the given time and returns its effects.
func (m *Members) Step(now time.Time, e Event) []Effect {
	m.effects = nil
	m.changed = false
	switch e := e.(type) {
	case Tick:
		m.tick(now)
	case Listed:
		m.list(e.Instances)
	case Received:
		m.merge(now, e.Message.Records)
		m.reply(e)
	case Answered:
		m.merge(now, e.Message.Records)
	case Failed:
		m.suspect(now, e.ID)
	case InForce:
		m.inForce(e)
	case Leave:
		m.leave()
	}
	if m.changed {
		m.emit(Changed{})
	}
	return m.effects
}

// Self returns this instance's record.
func (m *Members) Self() Record {
	return m.self
}

// View returns the records of all known instances but the dead, this one
// included, sorted by ID.
func (m *Members) View() []Record {
	view := []Record{m.self}
	for _, e := range m.entries {
		if e.State != Dead {
			view = append(view, e.Record)
		}
	}
	slices.SortFunc(view, func(a, b Record) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return view
}

func (m *Members) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Members) tick(now time.Time) {
	m.expire(now)
	if now.Sub(m.lastSent) < m.cfg.Interval {
		return
	}
	m.lastSent = now
	if to, ok := m.target(); ok {
		m.emit(Send{To: to.ID, Address: to.PeerAddress, Message: m.message(false)})
	}
}

// expire turns old suspects dead and forgets old dead.
func (m *Members) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.entries)) {
		e := m.entries[id]
		age := now.Sub(e.since)
		switch {
		case e.State == Suspect && age >= m.cfg.SuspectAfter:
			m.setState(now, e, Dead, "no answer")
		case e.State == Dead && age >= m.cfg.ForgetAfter:
			delete(m.entries, id)
		}
	}
}

// target picks a peer at random: a known one, or one of the platform's list.
func (m *Members) target() (Record, bool) {
	var candidates []Record
	for id, instance := range m.listed {
		if _, known := m.entries[id]; !known && id != m.self.ID {
			candidates = append(candidates, Record{ID: id, PeerAddress: instance.Address})
		}
	}
	for _, e := range m.entries {
		if e.State != Dead {
			candidates = append(candidates, e.Record)
		}
	}
	if len(candidates) == 0 {
		return Record{}, false
	}
	slices.SortFunc(candidates, func(a, b Record) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return candidates[m.rng.IntN(len(candidates))], true
}

// message returns a gossip message with all records.
func (m *Members) message(pull bool) Gossip {
	g := Gossip{From: m.self.ID, Table: m.tableHash(), Pull: pull}
	g.Records = append(g.Records, m.self)
	for _, id := range slices.Sorted(maps.Keys(m.entries)) {
		g.Records = append(g.Records, m.entries[id].Record)
	}
	return g
}

func (m *Members) reply(e Received) {
	g := m.message(false)
	if g.Table == e.Message.Table {
		g.Records = nil
	}
	m.emit(Reply{Call: e.Call, Message: g})
}

// tableHash is the sum of the hashes of all records, in any order.
func (m *Members) tableHash() uint64 {
	sum := recordHash(m.self)
	for _, e := range m.entries {
		sum += recordHash(e.Record)
	}
	return sum
}

func recordHash(r Record) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.ID)
	var b [25]byte
	putUint64(b[0:], r.Incarnation)
	putUint64(b[8:], r.Seq)
	putUint64(b[16:], uint64(r.State))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}

func (m *Members) merge(now time.Time, records []Record) {
	for _, r := range records {
		if r.ID == m.self.ID {
			m.refute(r)
			continue
		}
		m.mergeOne(now, r)
	}
}

// refute raises this instance's record above a claim of others about it.
func (m *Members) refute(claim Record) {
	if compare(claim, m.self) <= 0 {
		return
	}
	if claim.Incarnation > m.self.Incarnation {
		m.self.Incarnation = claim.Incarnation + 1
	}
	m.self.Seq = max(m.self.Seq, claim.Seq) + 1
	m.changed = true
}

func (m *Members) mergeOne(now time.Time, r Record) {
	e, ok := m.entries[r.ID]
	if !ok {
		if r.State == Dead {
			return
		}
		m.entries[r.ID] = &entry{Record: r, since: now}
		m.changed = true
		m.emit(Transition{ID: r.ID, From: Dead, To: r.State, Cause: "joined"})
		return
	}
	if compare(r, e.Record) <= 0 {
		return
	}
	from := e.State
	e.Record = r
	m.changed = true
	if from != r.State {
		e.since = now
		m.emit(Transition{ID: r.ID, From: from, To: r.State, Cause: "gossip"})
	}
}

func (m *Members) suspect(now time.Time, id string) {
	if e, ok := m.entries[id]; ok && e.State < Suspect {
		m.setState(now, e, Suspect, "gossip failed")
	}
}

func (m *Members) setState(now time.Time, e *entry, s State, cause string) {
	m.emit(Transition{ID: e.ID, From: e.State, To: s, Cause: cause})
	e.State = s
	e.since = now
	m.changed = true
}

func (m *Members) list(instances []source.Instance) {
	clear(m.listed)
	for _, i := range instances {
		m.listed[i.ID] = i
		if i.ID == m.self.ID && i.State == source.InstanceLeaving {
			m.leave()
		}
	}
}

func (m *Members) inForce(e InForce) {
	same := e.Version == m.self.Version && e.Root == m.self.Root
	if same && e.Ready == m.self.Ready && e.SourceFailing == m.self.SourceFailing {
		return
	}
	m.self.Version = e.Version
	m.self.Root = e.Root
	m.self.Ready = e.Ready
	m.self.SourceFailing = e.SourceFailing
	m.self.Seq++
	m.changed = true
}

func (m *Members) leave() {
	if m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.self.Seq++
	m.changed = true
}
