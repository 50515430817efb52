package dist

import (
	"math/rand/v2"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// Config sets the parameters of the distribution.
type Config struct {
	ID               string
	AvailabilityZone string
	// Services is the scope: the services fronted and called.
	Services []string
	// Naive makes every proxy read the source itself and ignore its peers.
	Naive bool
	// Followed tells that versions arrive as Published events; it implies
	// Naive.
	Followed bool
	// WatchWait is how long a watch of the source waits.
	WatchWait time.Duration
	// PullTimeout bounds a pull.
	PullTimeout time.Duration
	// BackoffMin and BackoffMax bound the full-jitter backoff.
	BackoffMin, BackoffMax time.Duration
	// Seed seeds jitter and the choice of peers.
	Seed uint64
}

// Dist is the state machine. The zero value is not usable.
type Dist struct {
	cfg Config
	rng *rand.Rand
	// started is the time of the first step; lastStep that of the latest.
	started, lastStep time.Time
	// wokeAt is the end of the last pause of this process.
	wokeAt time.Time

	fleet  fleet
	listed []source.Instance
	// listRead reports that the platform's list was read in this life.
	listRead bool
	peers    map[string]peerHead
	role     roleState

	current *config.Snapshot
	history []*config.Snapshot
	// partial is a version under assembly from several peers.
	partial *config.Snapshot
	refusal *Refusal
	// highest is the highest head heard from any peer.
	highest    uint64
	violations uint64

	source sourceState
	pull   pullState
	serve  serveState
	ready  readyState

	reported HeadChanged
	effects  []Effect
}

// New returns a state machine that holds no version.
func New(cfg Config) *Dist {
	d := &Dist{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		peers: make(map[string]peerHead),
	}
	d.cfg.Naive = cfg.Naive || cfg.Followed
	d.source.retry = backoff{base: cfg.BackoffMin, limit: cfg.BackoffMax}
	d.pull.retry = backoff{base: cfg.BackoffMin, limit: cfg.BackoffMax}
	if d.cfg.Naive {
		d.role.current = Reader
	}
	return d
}

// Step applies an event at the given time and returns its effects.
func (d *Dist) Step(now time.Time, e Event) []Effect {
	d.effects = nil
	d.passTime(now)
	switch e := e.(type) {
	case Tick:
	case Peers:
		d.setPeers(now, e.Records)
	case Listed:
		d.setListed(now, e.Instances)
	case Announced:
		d.announced(now, e.Announcement)
	case PullReceived:
		d.answer(now, e)
	case Pulled:
		d.pulled(now, e)
	case SourceRead:
		d.sourceRead(now, e)
	case Published:
		d.published(now, e.Configuration)
	}
	d.updateRole(now)
	d.watchSource(now)
	d.startPull(now)
	d.updateReady(now)
	d.report()
	return d.effects
}

// wakeGap is the time between two steps from which the process counts as
// having been paused.
const wakeGap = 2 * time.Second

func (d *Dist) passTime(now time.Time) {
	if d.started.IsZero() {
		d.started = now
		d.lastStep = now
	}
	if now.Sub(d.lastStep) >= wakeGap {
		d.wokeAt = now
		d.pull.recheck = now
	}
	d.lastStep = now
}

// Snapshot returns the snapshot in force, nil before the first.
func (d *Dist) Snapshot() *config.Snapshot {
	if !d.ready.ready {
		return nil
	}
	return d.current
}

// Role returns the present role.
func (d *Dist) Role() Role {
	return d.role.current
}

// Held returns the head of the version that this instance holds. It is in
// force once the instance is ready.
func (d *Dist) Held() Head {
	return headOf(d.current)
}

// Head returns the head of the version in force.
func (d *Dist) Head() Head {
	return headOf(d.Snapshot())
}

func headOf(s *config.Snapshot) Head {
	if s == nil {
		return Head{}
	}
	return Head{Version: s.Version, Root: s.Root}
}

// RefusedVersion returns the refused version above the one held, and why; 0 if
// there is none.
func (d *Dist) RefusedVersion() (uint64, config.Problems) {
	if d.refusal == nil {
		return 0, nil
	}
	return d.refusal.Version, d.refusal.Problems
}

// Violations returns the number of violations of the rules seen so far.
func (d *Dist) Violations() uint64 {
	return d.violations
}

func (d *Dist) emit(e Effect) {
	d.effects = append(d.effects, e)
}

func (d *Dist) violation(from, cause string) {
	d.violations++
	d.emit(Violation{From: from, Cause: cause})
}

// scope returns the services that the present role must hold.
func (d *Dist) scope() config.Scope {
	if d.role.current != Leaf {
		return nil
	}
	return config.NewScope(d.cfg.Services...)
}

// complete reports whether the snapshot held covers the scope.
func (d *Dist) complete() bool {
	return d.current != nil && d.current.Complete(d.scope())
}

// report tells the membership what changed about this instance.
func (d *Dist) report() {
	state := HeadChanged{Head: d.Held(), Ready: d.ready.ready, SourceFailing: d.source.failing}
	if state == d.reported {
		return
	}
	d.reported = state
	d.emit(state)
}
