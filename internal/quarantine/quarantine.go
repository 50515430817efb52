// Package quarantine refuses requests that are suspected of crashing backend
// servers. The requests in flight during a crash become suspects. A request is
// refused by all proxies once it was involved in several crashes in succession,
// each of which is known to have happened before the next run began, and no run
// was answered in between. The proxies exchange what they know of the suspects,
// see Evidence.
//
// The package is a pure state machine: it does no I/O and reads no clock.
package quarantine

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Config holds the parameters of the state machine.
type Config struct {
	// Seed seeds the choice of peers and the jitter of quarantines. It should
	// differ between processes.
	Seed uint64
	// MaxSuspects is the maximum number of suspects; 0 means the default.
	MaxSuspects int
}

const (
	defaultMaxSuspects = 4096
	// maxSuspectsPerCrash limits the runs taken from one crash.
	maxSuspectsPerCrash = 256

	// refuseAfter is the number of unanswered crashes from which a suspect is
	// refused.
	refuseAfter = 2
	// refuseAnsweredAfter applies instead to a suspect that was answered here
	// recently: many callers send such requests, so that one is often in flight
	// by chance.
	refuseAnsweredAfter = 4

	// firstDuration is the quarantine duration after refuseAfter crashes, in which
	// an operator can react. It grows by durationGrowth with each further crash, up
	// to maxDuration, so that trials end few backend servers.
	firstDuration  = 5 * time.Minute
	durationGrowth = 6
	maxDuration    = 24 * time.Hour
	// youngTime is the time after the start of this process in which the prime suspect
	// of a crash is refused after that crash: others may have been forgotten when the
	// whole fleet was restarted.
	youngTime = time.Minute
	// retention is how long a suspect is kept after its latest crash or its
	// quarantine.
	retention = 15 * time.Minute
)

// Run describes one run of a request on a backend server.
type Run struct {
	Fingerprint uint64
	// Known is the number of crashes of the fingerprint that were known when the
	// request was admitted, see Quarantine.Known.
	Known uint32
	// Prime marks the prime suspect of a crash: nothing else is likely to have caused
	// it.
	Prime bool
}

// Event is an input of the state machine.
type Event interface{ quarantineEvent() }

// Events.
type (
	// Crashed reports runs that ended because a backend server crashed.
	Crashed struct{ Runs []Run }
	// Answered reports a run that a backend server answered.
	Answered struct{ Run Run }
	// PeersChanged replaces the peer addresses of the other proxies.
	PeersChanged struct{ Addresses []string }
	// Received delivers a message of another proxy; the effect Reply answers it.
	Received struct {
		Call    uint64
		Message Message
	}
	// Replied delivers the reply to the message of a Send.
	Replied struct {
		Send  Send
		Reply Message
	}
	// Failed reports that the message of a Send got no reply.
	Failed struct{ Send Send }
	// Tick triggers periodic work.
	Tick struct{}
)

func (Crashed) quarantineEvent()      {}
func (Answered) quarantineEvent()     {}
func (PeersChanged) quarantineEvent() {}
func (Received) quarantineEvent()     {}
func (Replied) quarantineEvent()      {}
func (Failed) quarantineEvent()       {}
func (Tick) quarantineEvent()         {}

// Effect is an output of the state machine.
type Effect interface{ quarantineEffect() }

// Effects.
type (
	// Send sends a message to the proxy at the address; Replied or Failed reports
	// the result.
	Send struct {
		Address string
		Message Message
		// Attempt is the number of peers tried with this message, from 1.
		Attempt int
	}
	// Reply answers the Received with the same Call.
	Reply struct {
		Call    uint64
		Message Message
	}
	// Recorded reports suspects whose number of crashes rose, for the log.
	Recorded struct {
		// Local reports that a crash was seen by this proxy. Otherwise another
		// one told of it.
		Local        bool
		Fingerprints []uint64
		// MostCrashes is the highest number of crashes of one of them, and
		// QuarantinedUntil the latest end of their quarantines, zero if none is
		// refused.
		MostCrashes      uint32
		QuarantinedUntil time.Time
	}
	// Cleared reports a suspect that is no longer refused because a run was
	// answered, for the log.
	Cleared struct {
		Fingerprint uint64
		Crashes     uint32
	}
)

func (Send) quarantineEffect()     {}
func (Reply) quarantineEffect()    {}
func (Recorded) quarantineEffect() {}
func (Cleared) quarantineEffect()  {}

// Quarantine is the state machine. The zero value is not usable.
type Quarantine struct {
	cfg       Config
	rng       *rand.Rand
	suspects  map[uint64]*suspect
	answered  answeredSet
	exchange  exchange
	counters  Counters
	lastSweep time.Time
	// startedAt is the time of the first event.
	startedAt time.Time
	effects   []Effect
}

// New returns a state machine without suspects.
func New(cfg Config) *Quarantine {
	cfg.MaxSuspects = cmp.Or(cfg.MaxSuspects, defaultMaxSuspects)
	return &Quarantine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		suspects: make(map[uint64]*suspect),
		exchange: newExchange(),
	}
}

// Step applies an event at the given time and returns its effects.
func (q *Quarantine) Step(now time.Time, e Event) []Effect {
	q.effects = nil
	if q.startedAt.IsZero() {
		q.startedAt = now
	}
	switch e := e.(type) {
	case Crashed:
		q.recordCrash(now, e)
	case Answered:
		q.recordAnswer(now, e.Run)
	case PeersChanged:
		q.setPeers(now, e.Addresses)
	case Received:
		q.handleMessage(now, e)
	case Replied:
		q.handleReply(now, e)
	case Failed:
		q.handleFailure(now, e.Send)
	case Tick:
		q.expireSuspects(now)
		q.compareWithPeers(now)
	}
	q.pushPending(now)
	return q.effects
}

// Known returns the number of crashes known of a fingerprint. It is to be passed
// back with the Run of a request that is admitted now.
func (q *Quarantine) Known(fingerprint uint64) uint32 {
	if s, ok := q.suspects[fingerprint]; ok {
		return s.crashes
	}
	return 0
}

// Check reports whether the fingerprint is in quarantine, and if so returns the
// refusal for the request.
func (q *Quarantine) Check(now time.Time, fingerprint uint64) (outcome.Refusal, bool) {
	s, ok := q.suspects[fingerprint]
	if !ok || !q.refused(now, fingerprint, s) {
		return outcome.Refusal{}, false
	}
	q.counters.Refused++
	return outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     outcome.Quarantined,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: s.quarantinedUntil.Sub(now),
	}, true
}

func (q *Quarantine) refused(now time.Time, fingerprint uint64, s *suspect) bool {
	unanswered := s.unanswered()
	return unanswered >= refuseAfter && now.Before(s.quarantinedUntil) &&
		(unanswered >= refuseAnsweredAfter || !q.answered.has(now, fingerprint))
}

// recordCrash counts a crash seen by this proxy for each run that it ended, except
// for those without a fingerprint. A crash that was known when a run began does not
// count twice, nor do simultaneous crashes, such as a loss of power. The prime suspect
// counts as if it had ended another backend server before, within youngTime.
func (q *Quarantine) recordCrash(now time.Time, c Crashed) {
	young := now.Sub(q.startedAt) < youngTime
	var risen []uint64
	for _, r := range q.limitRuns(c.Runs) {
		if r.Fingerprint == 0 {
			continue
		}
		var forgotten uint32
		if r.Prime && young {
			forgotten = 1
		}
		e := Evidence{Fingerprint: r.Fingerprint, Crashes: min(max(r.Known, forgotten), maxCrashes-1) + 1}
		if q.merge(now, e) {
			risen = append(risen, r.Fingerprint)
		}
	}
	if len(risen) > 0 {
		q.counters.LocalCrashes++
	}
	q.reportRisen(now, risen, true)
}

// limitRuns returns at most maxSuspectsPerCrash runs: those of requests with known
// crashes first, then others at random, so that none escapes at every crash.
func (q *Quarantine) limitRuns(runs []Run) []Run {
	if len(runs) <= maxSuspectsPerCrash {
		return runs
	}
	runs = slices.Clone(runs)
	q.rng.Shuffle(len(runs), func(i, j int) { runs[i], runs[j] = runs[j], runs[i] })
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(b.Known, a.Known) })
	return runs[:maxSuspectsPerCrash]
}

// recordAnswer notes that a run was answered: the crashes that were known when it
// began do not count any more.
func (q *Quarantine) recordAnswer(now time.Time, r Run) {
	if r.Fingerprint == 0 {
		return
	}
	q.answered.add(now, r.Fingerprint)
	if r.Known == 0 {
		return
	}
	if s, ok := q.suspects[r.Fingerprint]; ok {
		q.merge(now, Evidence{Fingerprint: r.Fingerprint, Crashes: s.crashes, Answered: min(r.Known, s.crashes)})
	}
}

// reportRisen emits Recorded for suspects whose number of crashes rose, and marks
// them for the other proxies.
func (q *Quarantine) reportRisen(now time.Time, risen []uint64, local bool) {
	if len(risen) == 0 {
		return
	}
	recorded := Recorded{Local: local, Fingerprints: risen}
	for _, f := range risen {
		q.exchange.add(f)
		s, ok := q.suspects[f]
		if !ok {
			continue // evicted by a later one of the same step
		}
		recorded.MostCrashes = max(recorded.MostCrashes, s.crashes)
		if q.refused(now, f, s) && s.quarantinedUntil.After(recorded.QuarantinedUntil) {
			recorded.QuarantinedUntil = s.quarantinedUntil
		}
	}
	q.effects = append(q.effects, recorded)
}
