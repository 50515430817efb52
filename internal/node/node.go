// Package node joins the state machines of a proxy into one reducer over all
// events. It is pure: the same configuration and the same events at the same
// times give the same effects.
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

// Config configures the state machines of one proxy.
type Config struct {
	Member    member.Config
	Dist      dist.Config
	Routing   routing.Config
	Admission admission.Config
	Limit     limit.Config
	// Listed takes instances and versions from one store, without membership
	// among the proxies.
	Listed bool
	// BackendAddress tells which listed instance is the one beside the proxy.
	BackendAddress string
	// LinkMbps is the bandwidth of this machine's link, 0 if it is not known.
	LinkMbps float64
	// Seeds are the peer addresses of proxies to start from while the store is
	// out of reach.
	Seeds []string
}

// Event is a member.Event, dist.Event, routing.Event, admission.Event,
// limit.Event, dedupe.Event, quarantine.Event, or one of the events of this
// package.
type Event any

// Events of the whole proxy.
type (
	// Tick passes time.
	Tick struct{}
	// Leave begins a graceful shutdown. Requests of other proxies are run until
	// AdmitUntil and refused afterwards.
	Leave struct {
		Cause      string
		AdmitUntil time.Time
	}
)

// Effects is the output of one step, by the package that carries it out.
type Effects struct {
	Member    []member.Effect
	Dist      []dist.Effect
	Routing   []routing.Effect
	Admission []admission.Effect
	Dedupe    []dedupe.Effect
	Limit     []limit.Effect
	// Store holds the next calls of the store.
	Store []source.Call
	// Relay answers requests of proxies that follow the store through this one.
	Relay []RelayAnswer
	// Journal holds the decisions of the step, for the log.
	Journal []Entry
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
	// follower is nil unless instances and versions come from one store.
	follower *source.Follower
	relay    relay
	// lives holds the instances of the view by identifier.
	lives   map[string]Life
	now     time.Time
	journal journal
	// marks holds the keys of the marks spread for the present list.
	marks map[string]bool
	begun bool
	// backend is the listed instance beside this proxy.
	backend source.Instance
	leaving bool
	// admitUntil ends the time in which requests are run though leaving.
	admitUntil time.Time
	// inForceSince is when the version in force was accepted.
	inForceSince   time.Time
	inForceVersion uint64
}

// New returns a node that knows nothing yet.
func New(cfg Config) *Node {
	self := cfg.Member.Self
	origin := self.ID + "-" + strconv.FormatUint(self.Incarnation, 36)
	cfg.Admission.Incarnation = self.Incarnation
	cfg.Admission.ClaimKeys = true
	n := &Node{
		cfg:        cfg,
		members:    member.New(cfg.Member),
		dist:       dist.New(cfg.Dist),
		router:     routing.New(cfg.Routing),
		admission:  admission.New(cfg.Admission),
		dedupe:     dedupe.New(dedupe.Config{Self: self.ID, Origin: origin, Service: self.Service}),
		quarantine: quarantine.New(quarantine.Config{Origin: origin}),
		limiter:    limit.New(cfg.Limit),
	}
	n.router.UseLimiter(n.limiter)
	if cfg.Listed {
		n.follower = source.NewFollower(source.FollowerConfig{
			AvailabilityZone: cfg.Dist.AvailabilityZone,
			BackendAddress:   cfg.BackendAddress,
			LinkMbps:         cfg.LinkMbps,
			Seeds:            cfg.Seeds,
			Seed:             cfg.Dist.Seed,
		})
	}
	return n
}

// Step applies an event at the given time and returns its effects.
func (n *Node) Step(now time.Time, e Event) Effects {
	var out Effects
	n.now = now
	n.journal.fresh = nil
	switch e := e.(type) {
	case Tick:
		n.begin(now, &out)
		if n.follower != nil {
			n.learn(now, n.follower.Tick(now), &out)
			n.askVersions(now, &out)
			n.answerRelays(now, &out)
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
		n.learn(now, n.follower.VersionsRead(now, e.Changes), &out)
		n.askVersions(now, &out)
		n.answerRelays(now, &out)
	case VersionsFailed:
		n.learn(now, n.follower.VersionsFailed(now, e.Compacted, e.Cause), &out)
		n.askVersions(now, &out)
	case StoreListed, StoreChanged, StoreFailed, StoreRelayed:
		n.stepFollower(now, e, &out)
		n.askVersions(now, &out)
		n.answerRelays(now, &out)
	case RelayReceived:
		n.relayReceived(now, e, &out)
	case member.Listed:
		n.stepDist(now, dist.Listed{Instances: e.Instances}, &out)
		n.stepMember(now, e, &out)
		n.spreadMarks(now, e.Instances, &out)
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
	out.Journal = n.journal.fresh
	return out
}

// begin passes the view that holds only this instance to the other state
// machines, once.
func (n *Node) begin(now time.Time, out *Effects) {
	if n.begun {
		return
	}
	n.begun = true
	if n.follower != nil {
		out.Store = append(out.Store, source.Call{List: true})
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
	n.stepMember(now, member.Leave{}, out)
	n.closeAdmission(now, out)
}

// closeAdmission refuses the requests of other proxies from admitUntil on. It
// answers restarts in turn: the backend server beside a proxy that stops runs
// on, and its slots are missed for as long as they are refused.
func (n *Node) closeAdmission(now time.Time, out *Effects) {
	if n.leaving && !now.Before(n.admitUntil) {
		n.stepAdmission(now, admission.Leave{}, out)
	}
}

func (n *Node) stepMember(now time.Time, e member.Event, out *Effects) {
	for _, effect := range n.members.Step(now, e) {
		switch effect := effect.(type) {
		case member.Changed:
			n.viewChanged(now, out)
		case member.Transition:
			n.journal.addTransition(now, effect)
		case member.Learnt:
			n.learnRumour(now, effect.Rumour, out)
		case member.Violation:
			n.journal.addViolation(now, effect.From, effect.Cause)
			out.Member = append(out.Member, effect)
		default:
			out.Member = append(out.Member, effect)
		}
	}
}

// viewChanged passes the new view on to the other state machines.
func (n *Node) viewChanged(now time.Time, out *Effects) {
	if n.follower != nil {
		return // the store alone tells of the instances
	}
	view := n.members.View()
	if n.members.Self().State == member.Leaving {
		n.leave(now, Leave{Cause: "marked by the platform"}, out)
	}
	n.lives = lives(view)
	n.stepDedupe(now, dedupe.PeersChanged{Peers: n.dedupePeers(view)}, out)
	n.stepDist(now, dist.Peers{Records: view}, out)
	n.stepRouting(now, routing.InstancesChanged{Instances: instances(view)}, out)
	n.stepLimit(now, limit.View{Members: limitOwners(view)}, out)
}

func instances(view []member.Record) []routing.Instance {
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
		case dist.Refused:
			n.journal.add(now, "version refused", strconv.FormatUint(effect.Version, 10)+": "+effect.Problems.Error())
			n.stepMember(now, member.Refused{Version: effect.Version}, out)
		case dist.RoleChanged:
			n.journal.add(now, "role "+effect.To.String(), "was "+effect.From.String())
		case dist.Violation:
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
	n.stepRouting(now, routing.Enforced{Snapshot: s}, out)
	n.stepLimit(now, limit.Enforced{Version: s.Version}, out)
}

// publish tells the fleet which version this proxy holds and whether it is in
// force here. A proxy that is not ready takes no requests, so it enforces
// nothing older than what it holds.
func (n *Node) publish(now time.Time, h dist.HeadChanged, out *Effects) {
	n.stepMember(now, member.InForce{
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
func (n *Node) Idle() bool {
	running, waiting := n.admission.InFlight()
	return n.router.InFlight()+running+waiting == 0
}
