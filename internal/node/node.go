// Package node combines the state machines of a proxy into one reducer. The
// reducer is deterministic: the same configuration and the same events at the
// same times produce the same effects.
package node

import (
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dedupe"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// Config holds the parameters of the state machines of one proxy.
type Config struct {
	Member    member.Config
	Dist      dist.Config
	Routing   routing.Config
	Admission admission.Config
	Limit     limit.Config
	// Listed makes the proxy read instances and configuration versions from
	// one store instead of running a gossip membership among the proxies.
	Listed bool
	// BackendAddress identifies the local backend server in the store's list of
	// instances.
	BackendAddress string
	// LinkMbps is the bandwidth of this machine's network link in Mbit/s, 0 if
	// unknown.
	LinkMbps float64
	// Seeds are the peer addresses of proxies that provide the initial state
	// when the store is unreachable at start-up.
	Seeds []string
	// ResyncLimit is that of the source.FollowerConfig.
	ResyncLimit time.Duration
	// ReportInterval is that of the source.FollowerConfig.
	ReportInterval time.Duration
}

// Event is an input of the reducer: a member.Event, dist.Event, routing.Event,
// admission.Event, limit.Event, dedupe.Event, quarantine.Event, or one of the
// events of this package.
type Event any

// Events that concern the proxy as a whole.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// Leave starts a graceful shutdown. Requests from other proxies are admitted
	// until AdmitUntil and refused afterwards.
	Leave struct {
		Cause      string
		AdmitUntil time.Time
		// EndsAt is when requests in flight are ended, zero if that is not known.
		EndsAt time.Time
	}
)

// Effects is the output of one step, grouped by the package that defines the
// effects.
type Effects struct {
	Member    []member.Effect
	Dist      []dist.Effect
	Routing   []routing.Effect
	Admission []admission.Effect
	Dedupe    []dedupe.Effect
	Limit     []limit.Effect
	// Quarantine holds messages to and replies for other proxies.
	Quarantine []quarantine.Effect
	// Store holds the next calls to the store or to a proxy that relays it.
	Store []source.Call
	// Relay answers requests from proxies that follow the store through this
	// one.
	Relay []ReplyRelay
	// Callers holds the limits of callers of a version that came into force, nil
	// if none did.
	Callers *config.CallerLimits
	// Journal holds the journal entries added in this step, for the log.
	Journal []JournalEntry
}

// Node is the reducer. It is not safe for concurrent use.
type Node struct {
	cfg        Config
	members    *member.Members
	dist       *dist.Dist
	router     *routing.Router
	admission  *admission.Admission
	dedupe     *dedupe.Dedupe
	quarantine *quarantine.Quarantine
	limiter    *limit.Limiter
	// follower is nil unless Config.Listed is set.
	follower *source.Follower
	relay    relayState
	// peers holds the instances of the membership view by identifier.
	peers   map[string]PeerProcess
	now     time.Time
	journal journal
	// leaveNotices holds the keys of the leave notices published for the
	// current list of instances.
	leaveNotices map[string]bool
	started      bool
	// backend is the local backend server's entry in the list of instances.
	backend source.Instance
	// warmUps holds what the entries of the instances state about their warm-ups.
	warmUps map[string]listedWarmUp
	// evacuations are those in force, sorted by zone. locallyEvacuated is what
	// admission was told of the local backend server.
	evacuations      []Evacuation
	locallyEvacuated bool
	leaving          bool
	// admitUntil is when a leaving proxy stops admitting requests from other
	// proxies.
	admitUntil time.Time
	// inForceSince is when inForceVersion came into force.
	inForceSince   time.Time
	inForceVersion uint64
}

// New returns a node without instances and without a configuration version.
func New(cfg Config) *Node {
	self := cfg.Member.Self
	runID := self.ID + "-" + strconv.FormatUint(self.Incarnation, 36)
	cfg.Admission.Incarnation = self.Incarnation
	cfg.Admission.ClaimKeys = true
	n := &Node{
		cfg:        cfg,
		members:    member.New(cfg.Member),
		dist:       dist.New(cfg.Dist),
		router:     routing.New(cfg.Routing),
		admission:  admission.New(cfg.Admission),
		dedupe:     dedupe.New(dedupe.Config{Self: self.ID, RunID: runID, Service: self.Service}),
		quarantine: quarantine.New(quarantine.Config{Seed: cfg.Dist.Seed}),
		limiter:    limit.New(cfg.Limit),
	}
	n.router.SetLimiter(n.limiter)
	if cfg.Listed {
		n.follower = source.NewFollower(source.FollowerConfig{
			AvailabilityZone: cfg.Dist.AvailabilityZone,
			BackendAddress:   cfg.BackendAddress,
			LinkMbps:         cfg.LinkMbps,
			Seeds:            cfg.Seeds,
			RandSeed:         cfg.Dist.Seed,
			ResyncLimit:      cfg.ResyncLimit,
			ReportInterval:   cfg.ReportInterval,
		})
	}
	return n
}

// Step applies an event at the given time and returns its effects.
func (n *Node) Step(now time.Time, e Event) Effects {
	var out Effects
	n.now = now
	n.journal.stepEntries = nil
	switch e := e.(type) {
	case Tick:
		n.start(now, &out)
		if n.follower != nil {
			n.applyUpdate(now, n.follower.Tick(now), &out)
			n.requestVersions(now, &out)
			n.answerRelayRequests(now, &out)
		}
		n.stepMember(now, member.Tick{}, &out)
		n.stepDist(now, dist.Tick{}, &out)
		n.stepRouting(now, routing.Tick{}, &out)
		n.stepAdmission(now, admission.Tick{}, &out)
		n.closeAdmission(now, &out)
		n.stepLimit(now, limit.Tick{}, &out)
		n.stepDedupe(now, dedupe.Tick{}, &out)
		n.stepQuarantine(now, quarantine.Tick{}, &out)
	case Leave:
		n.leave(now, e, &out)
	case VersionsChanged:
		n.applyUpdate(now, n.follower.HandleConfiguration(now, e.Changes), &out)
		n.requestVersions(now, &out)
		n.answerRelayRequests(now, &out)
	case VersionsFailed:
		n.applyUpdate(now, n.versionsFailed(now, e), &out)
		n.requestVersions(now, &out)
	case VersionHeard:
		if n.follower != nil {
			n.follower.HearVersion(now, e.Version, e.From)
		}
	case QuestionAnswered:
		n.applyUpdate(now, n.applyAnswer(now, e), &out)
		n.requestVersions(now, &out)
		n.answerRelayRequests(now, &out)
	case StoreListed, StoreSurveyed, StoreChanged, StoreFailed, StoreRelayed, ReaderDelayed:
		n.stepFollower(now, e, &out)
		n.requestVersions(now, &out)
		n.answerRelayRequests(now, &out)
	case RelayReceived:
		n.relayReceived(now, e, &out)
	case member.Listed:
		n.stepDist(now, dist.InstancesListed{Instances: e.Instances}, &out)
		n.stepMember(now, e, &out)
		n.publishLeaveNotices(now, e.Instances, &out)
	case member.Event:
		n.stepMember(now, e, &out)
	case dist.Event:
		n.stepDist(now, e, &out)
	case routing.Event:
		n.stepRouting(now, e, &out)
	case admission.Event:
		n.stepAdmission(now, e, &out)
	case limit.Event:
		n.stepLimit(now, e, &out)
	case dedupe.Event:
		n.stepDedupe(now, e, &out)
	case quarantine.Event:
		n.stepQuarantine(now, e, &out)
	}
	out.Journal = n.journal.stepEntries
	return out
}

// start runs once, on the first Tick. It requests the content of the store or,
// without a store, passes the initial view, which holds only this instance, to
// the other state machines.
func (n *Node) start(now time.Time, out *Effects) {
	if n.started {
		return
	}
	n.started = true
	if n.follower != nil {
		out.Store = append(out.Store, n.follower.FirstCall(now))
		return
	}
	n.viewChanged(now, out)
}

func (n *Node) leave(now time.Time, e Leave, out *Effects) {
	if n.leaving {
		return
	}
	n.leaving, n.admitUntil = true, e.AdmitUntil
	n.journal.add(now, "leaving", e.Cause)
	if !e.EndsAt.IsZero() {
		n.stepRouting(now, routing.Stopping{EndsAt: e.EndsAt}, out)
	}
	n.stepMember(now, member.Leave{}, out)
	n.closeAdmission(now, out)
}

// closeAdmission refuses requests from other proxies once admitUntil has passed.
// They are admitted until then because the backend servers keep running in a
// rolling restart of the proxies: refusing requests would take the slots of the
// local backend server out of service.
func (n *Node) closeAdmission(now time.Time, out *Effects) {
	if n.leaving && !now.Before(n.admitUntil) {
		n.stepAdmission(now, admission.Leave{}, out)
	}
}

func (n *Node) stepMember(now time.Time, e member.Event, out *Effects) {
	for _, effect := range n.members.Step(now, e) {
		switch effect := effect.(type) {
		case member.ViewChanged:
			n.viewChanged(now, out)
		case member.Transition:
			n.journal.addTransition(now, effect)
		case member.RumourLearnt:
			n.handleRumour(now, effect.Rumour, out)
		case member.ProtocolViolation:
			n.journal.addViolation(now, effect.From, effect.Cause)
			out.Member = append(out.Member, effect)
		default:
			out.Member = append(out.Member, effect)
		}
	}
}

// viewChanged passes the new membership view to the other state machines.
func (n *Node) viewChanged(now time.Time, out *Effects) {
	if n.follower != nil {
		return // instances come from the store only
	}
	view := n.members.View()
	if n.members.Self().State == member.Leaving {
		n.leave(now, Leave{Cause: "marked as leaving by the platform"}, out)
	}
	n.peers = peersByID(view)
	n.stepDedupe(now, dedupe.PeersChanged{Peers: n.dedupePeers(view)}, out)
	n.stepDist(now, dist.MembershipChanged{Records: view}, out)
	n.stepRouting(now, routing.InstancesChanged{Instances: routingInstances(view)}, out)
	n.stepLimit(now, limit.MembersChanged{Members: limitOwners(view)}, out)
	n.stepQuarantine(now, n.viewedPeers(view), out)
}

// routingInstances returns the ready instances of the view that are alive, leaving
// or suspect.
func routingInstances(view []member.Record) []routing.Instance {
	list := make([]routing.Instance, 0, len(view))
	for _, r := range view {
		if r.Service == "" || !r.Ready || r.State > member.Suspect {
			continue
		}
		list = append(list, routing.Instance{
			ID:               r.ID,
			Service:          r.Service,
			AvailabilityZone: r.AvailabilityZone,
			Address:          r.ForwardAddress,
			Slots:            r.Slots,
			Leaving:          r.State == member.Leaving,
			Suspect:          r.State == member.Suspect || r.State == member.Partitioned,
			Incarnation:      r.Incarnation,
		})
	}
	return list
}

func (n *Node) stepDist(now time.Time, e dist.Event, out *Effects) {
	for _, effect := range n.dist.Step(now, e) {
		switch effect := effect.(type) {
		case dist.Enforce:
			n.enforce(now, effect.Snapshot, out)
		case dist.HeadChanged:
			n.publish(now, effect, out)
		case dist.BecameReady:
			n.journal.add(now, "ready", effect.Cause)
		case dist.VersionRefused:
			n.journal.add(now, "version refused", strconv.FormatUint(effect.Version, 10)+": "+effect.Problems.Error())
			n.stepMember(now, member.VersionRefused{Version: effect.Version}, out)
			n.stepRouting(now, routing.VersionRefused{}, out)
		case dist.RoleChanged:
			n.journal.add(now, "role "+effect.To.String(), "was "+effect.From.String())
		case dist.ProtocolViolation:
			n.journal.addViolation(now, effect.From, effect.Cause)
		default:
			out.Dist = append(out.Dist, effect)
		}
	}
}

// enforce puts a snapshot in force.
func (n *Node) enforce(now time.Time, s *config.Snapshot, out *Effects) {
	if s.Version > n.inForceVersion {
		n.inForceVersion = s.Version
		n.inForceSince = now
	}
	n.journal.addVersion(now, s)
	out.Callers = &s.Callers
	n.enforceServiceLimits(now, s, out)
	n.stepRouting(now, routing.SnapshotEnforced{Snapshot: s}, out)
	n.stepLimit(now, limit.VersionEnforced{Version: s.Version}, out)
}

// publish reports the version held here and the readiness of this proxy to the
// fleet. The version is reported as in force even while the proxy is not ready:
// the proxy then takes no requests and thus enforces no older version.
func (n *Node) publish(now time.Time, h dist.HeadChanged, out *Effects) {
	n.stepMember(now, member.VersionHeld{
		Version:       h.Head.Version,
		Root:          h.Head.Root,
		Ready:         h.Ready,
		SourceFailing: h.SourceFailing,
	}, out)
}

// Leaving reports whether a graceful shutdown has begun.
func (n *Node) Leaving() bool {
	return n.leaving
}

// Idle reports whether no request is in progress.
func (n *Node) Idle() bool { return n.InFlight() == RequestsInFlight{} }

// RequestsInFlight counts the requests in progress at a proxy.
type RequestsInFlight struct {
	// Routed are requests of callers of this proxy.
	Routed int
	// Running and Waiting are requests at, and in the queue of, the backend server
	// beside it.
	Running, Waiting int
}

// InFlight returns the requests in progress.
func (n *Node) InFlight() RequestsInFlight {
	running, waiting := n.admission.InFlight()
	return RequestsInFlight{Routed: n.router.InFlight(), Running: running, Waiting: waiting}
}
