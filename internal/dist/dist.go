package dist

import (
	"math/rand/v2"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// Config holds the parameters of the distribution.
type Config struct {
	ID               string
	AvailabilityZone string
	// Services is the scope of a leaf: the services that this proxy fronts
	// and calls.
	Services []string
	// Naive turns distribution between peers off: the proxy reads the
	// source itself and ignores its peers.
	Naive bool
	// Followed means that a source.Follower reads the versions, which arrive
	// as Published events; it implies Naive.
	Followed bool
	// WatchWait is the long-poll timeout of a watch of the source.
	WatchWait time.Duration
	// PullTimeout is the timeout of a pull from a peer.
	PullTimeout time.Duration
	// BackoffMin and BackoffMax bound the exponential backoff with full
	// jitter.
	BackoffMin, BackoffMax time.Duration
	// Seed seeds the generator of jitter and peer selection.
	Seed uint64
}

// Dist is the state machine of the distribution. New creates it; the zero value
// is not usable.
type Dist struct {
	cfg Config
	rng *rand.Rand
	// started is the time of the first step, lastStep that of the latest.
	started, lastStep time.Time
	// resumedAt is the end of the last detected pause of this process.
	resumedAt time.Time

	fleet  fleet
	listed []source.Instance
	// listReceived is set once the platform's list of instances has been
	// read.
	listReceived bool
	peers        map[string]peerState
	role         roleState

	current *config.Snapshot
	history []*config.Snapshot
	// partial is a version that is being assembled from several peers.
	partial *config.Snapshot
	refusal *Refusal
	// highestVersion is the highest version reported by any peer so far,
	// including peers that have lost it or have left the fleet.
	highestVersion uint64
	violations     uint64

	source sourceState
	pull   pullState
	serve  serveState
	ready  readyState

	lastReported HeadChanged
	effects      []Effect
}

// New returns a state machine without a version.
func New(cfg Config) *Dist {
	d := &Dist{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		peers: make(map[string]peerState),
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
	d.advanceClock(now)
	switch e := e.(type) {
	case Tick:
	case MembershipChanged:
		d.setPeers(now, e.Records)
	case InstancesListed:
		d.setListed(now, e.Instances)
	case Announced:
		d.handleAnnouncement(now, e.Announcement)
	case PullReceived:
		d.handlePullRequest(now, e)
	case Pulled:
		d.handlePulled(now, e)
	case SourceRead:
		d.handleSourceRead(now, e)
	case Published:
		d.handlePublished(now, e.Configuration)
	}
	d.updateRole(now)
	d.startWatch(now)
	d.startPull(now)
	d.updateReady(now)
	d.reportHead()
	return d.effects
}

// pauseThreshold is the time between two steps from which the process is
// considered to have been paused.
const pauseThreshold = 2 * time.Second

func (d *Dist) advanceClock(now time.Time) {
	if d.started.IsZero() {
		d.started = now
		d.lastStep = now
	}
	if now.Sub(d.lastStep) >= pauseThreshold {
		d.resumedAt = now
		d.pull.recheckAt = now
	}
	d.lastStep = now
}

// EnforcedSnapshot returns the snapshot in force, nil if there is none yet.
func (d *Dist) EnforcedSnapshot() *config.Snapshot {
	if !d.ready.ready {
		return nil
	}
	return d.current
}

// Role returns the current role.
func (d *Dist) Role() Role {
	return d.role.current
}

// HeldHead returns the head of the version that this instance holds. It is in
// force once the instance is ready.
func (d *Dist) HeldHead() Head {
	return headOf(d.current)
}

// EnforcedHead returns the head of the version in force.
func (d *Dist) EnforcedHead() Head {
	return headOf(d.EnforcedSnapshot())
}

func headOf(s *config.Snapshot) Head {
	if s == nil {
		return Head{}
	}
	return Head{Version: s.Version, Root: s.Root}
}

// RefusedVersion returns the refused version above the one held and the
// problems found in it, 0 and nil if there is none.
func (d *Dist) RefusedVersion() (uint64, config.Problems) {
	if d.refusal == nil {
		return 0, nil
	}
	return d.refusal.Version, d.refusal.Problems
}

// Violations returns the number of protocol violations seen so far.
func (d *Dist) Violations() uint64 {
	return d.violations
}

func (d *Dist) emit(e Effect) {
	d.effects = append(d.effects, e)
}

func (d *Dist) reportViolation(from, cause string) {
	d.violations++
	d.emit(ProtocolViolation{From: from, Cause: cause})
}

// scope returns the services that the current role must hold, nil for all.
func (d *Dist) scope() config.Scope {
	if d.role.current != Leaf {
		return nil
	}
	return config.NewScope(d.cfg.Services...)
}

// complete reports whether the snapshot held covers the scope of the current
// role.
func (d *Dist) complete() bool {
	return d.current != nil && d.current.Complete(d.scope())
}

// reportHead emits HeadChanged if anything that the instance publishes about
// itself has changed.
func (d *Dist) reportHead() {
	state := HeadChanged{Head: d.HeldHead(), Ready: d.ready.ready, SourceFailing: d.source.handingOver}
	if state == d.lastReported {
		return
	}
	d.lastReported = state
	d.emit(state)
}
