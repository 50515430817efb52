package dist

import (
	"math/rand/v2"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// Config sets the parameters of the distribution.
type Config struct {
	ID               string
	AvailabilityZone string
	// Services is the scope: the services fronted and called.
	Services []string
	// Naive makes every proxy read the source itself and ignore its peers.
	Naive bool
	// WatchWait is how long a watch of the source waits.
	WatchWait time.Duration
	// PullTimeout bounds a pull.
	PullTimeout time.Duration
	// BackoffMin and BackoffMax bound the full-jitter backoff.
	BackoffMin, BackoffMax time.Duration
	// Seed seeds jitter and the choice of peers.
	Seed uint64
}

// historyLength is the number of snapshots kept as bases of deltas.
const historyLength = 8

// Dist is the state machine. The zero value is not usable.
type Dist struct {
	cfg     Config
	rng     *rand.Rand
	role    Role
	records []member.Record
	ranked  []member.Record

	current *config.Snapshot
	history []*config.Snapshot
	// refused is the highest version refused as a whole.
	refused         uint64
	refusedProblems config.Problems
	// heads is the newest head heard from each peer.
	heads map[string]Head

	watching    bool
	sourceRetry backoff
	pulling     string
	pullSince   time.Time
	pullRetry   backoff

	effects []Effect
}

// New returns a state machine that holds no version.
func New(cfg Config) *Dist {
	return &Dist{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		heads:       make(map[string]Head),
		sourceRetry: backoff{base: cfg.BackoffMin, limit: cfg.BackoffMax},
		pullRetry:   backoff{base: cfg.BackoffMin, limit: cfg.BackoffMax},
	}
}

// Step applies an event at the given time and returns its effects.
func (d *Dist) Step(now time.Time, e Event) []Effect {
	d.effects = nil
	switch e := e.(type) {
	case Tick:
	case Peers:
		d.setPeers(e.Records)
	case Announced:
		d.heard(e.From, e.Head)
	case PullReceived:
		d.answer(e)
	case Pulled:
		d.pulled(now, e)
	case SourceRead:
		d.sourceRead(now, e)
	}
	d.schedule(now)
	return d.effects
}

// Snapshot returns the snapshot in force, nil before the first.
func (d *Dist) Snapshot() *config.Snapshot {
	return d.current
}

// Role returns the present role.
func (d *Dist) Role() Role {
	return d.role
}

// Head returns the head of the version in force.
func (d *Dist) Head() Head {
	if d.current == nil {
		return Head{}
	}
	return Head{Version: d.current.Version, Root: d.current.Root}
}

// RefusedVersion returns the highest version refused as a whole and why.
func (d *Dist) RefusedVersion() (uint64, config.Problems) {
	return d.refused, d.refusedProblems
}

func (d *Dist) emit(e Effect) {
	d.effects = append(d.effects, e)
}

// scope returns the services that the present role must hold.
func (d *Dist) scope() config.Scope {
	if d.role != Leaf {
		return nil
	}
	return config.NewScope(d.cfg.Services...)
}

func (d *Dist) setPeers(records []member.Record) {
	d.records = records
	d.ranked = ranking(records, d.cfg.AvailabilityZone)
	for _, r := range records {
		if r.ID != d.cfg.ID && r.Version != 0 {
			d.heard(r.ID, Head{Version: r.Version, Root: r.Root})
		}
	}
	d.setRole()
}

func (d *Dist) setRole() {
	rank := slices.IndexFunc(d.ranked, func(r member.Record) bool { return r.ID == d.cfg.ID })
	role := roleOf(rank, len(d.ranked))
	if d.cfg.Naive {
		role = Reader
	}
	if role == d.role {
		return
	}
	d.emit(RoleChanged{From: d.role, To: role})
	if d.role == Reader && d.watching {
		d.watching = false
		d.emit(StopSource{})
	}
	d.role = role
}

// heard records the head of a peer; versions of a peer only grow.
func (d *Dist) heard(from string, h Head) {
	if d.cfg.Naive || h.Version < d.heads[from].Version {
		return
	}
	d.heads[from] = h
	if d.current != nil && h.Version == d.current.Version && h.Root != d.current.Root {
		d.emit(Violation{From: from, Cause: "other content under the same version"})
	}
}

// schedule starts the work that the state calls for.
func (d *Dist) schedule(now time.Time) {
	d.watch(now)
	d.pull(now)
}

func (d *Dist) watch(now time.Time) {
	if d.role != Reader || d.watching || !d.sourceRetry.due(now) {
		return
	}
	d.watching = true
	d.emit(WatchSource{After: d.watchAfter(), Wait: d.cfg.WatchWait})
}

// watchAfter is the version above which a watch answers at once.
func (d *Dist) watchAfter() uint64 {
	if d.current == nil || !d.current.Complete(d.scope()) {
		return d.refused
	}
	return max(d.current.Version, d.refused)
}

func (d *Dist) sourceRead(now time.Time, e SourceRead) {
	if !d.watching {
		return
	}
	d.watching = false
	switch {
	case e.Err != "":
		d.sourceRetry.fail(now, d.rng)
		return
	case e.Snapshot != nil:
		d.accept(e.Snapshot)
	case e.Version > d.refused:
		d.refused = e.Version
		d.refusedProblems = e.Refused
		d.emit(Refused{Version: e.Version, Problems: e.Refused})
	}
	if e.Version != 0 && e.Version <= d.Head().Version && e.Snapshot != d.current {
		// The source is behind the fleet; do not ask again at once.
		d.sourceRetry.fail(now, d.rng)
		return
	}
	d.sourceRetry.reset()
}

// accept puts a snapshot in force if it is newer, or holds more of the same.
func (d *Dist) accept(s *config.Snapshot) bool {
	if d.current != nil {
		same := s.Version == d.current.Version && s.Root == d.current.Root
		wider := same && len(s.Sets) > len(d.current.Sets)
		if s.Version <= d.current.Version && !wider {
			return false
		}
	}
	newer := d.current == nil || s.Version > d.current.Version
	d.current = s
	d.remember(s)
	d.emit(Enforce{Snapshot: s})
	if newer {
		d.announce()
	}
	return true
}

func (d *Dist) remember(s *config.Snapshot) {
	d.history = append(d.history, s)
	if len(d.history) > historyLength {
		d.history = slices.Delete(d.history, 0, len(d.history)-historyLength)
	}
}

// announce tells the peers that depend on this instance of the new version.
func (d *Dist) announce() {
	if d.role == Leaf || d.cfg.Naive {
		return
	}
	a := Announcement{From: d.cfg.ID, Head: d.Head()}
	for _, r := range d.ranked {
		if r.ID != d.cfg.ID && d.heads[r.ID].Version < a.Head.Version {
			d.emit(Announce{To: r.ID, Address: r.PeerAddress, Announcement: a})
		}
	}
}

// answer sends a delta from what the peer has to the version in force.
func (d *Dist) answer(e PullReceived) {
	reply := PullReply{}
	scope := config.NewScope(e.Request.Services...)
	if e.Request.All {
		scope = nil
	}
	if d.current != nil && d.current.Complete(scope) && e.Request.Have.Version <= d.current.Version {
		reply.Delta = config.Diff(d.base(e.Request.Have, scope), d.current, scope)
	}
	d.emit(ReplyPull{Call: e.Call, Reply: reply})
}

// base returns the snapshot that the peer holds, if it is remembered here and
// complete for its scope.
func (d *Dist) base(have Head, scope config.Scope) *config.Snapshot {
	for _, s := range slices.Backward(d.history) {
		if s.Version == have.Version && s.Root == have.Root && s.Complete(scope) {
			return s.Restrict(scope)
		}
	}
	return nil
}
