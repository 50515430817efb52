package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dedupe"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// Status is the state of this proxy and of the fleet as known to it.
type Status struct {
	ID      string      `json:"id"`
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root"`
	Role    string      `json:"role"`
	Ready   bool        `json:"ready"`
	// Waiting is the reason why the proxy is not ready.
	Waiting string `json:"waiting,omitempty"`
	// ReadyCause is the reason why the proxy became ready.
	ReadyCause string `json:"ready_cause,omitempty"`
	// SourceError is the error of the last read of the configuration source.
	SourceError string `json:"source_error,omitempty"`
	// Store describes what this proxy has read of the store, nil if it does not
	// follow one.
	Store *source.EraStats `json:"store,omitempty"`
	// Evacuation describes the evacuated availability zones, nil if this proxy does not
	// follow a store.
	Evacuation *EvacuationStats `json:"evacuation,omitempty"`
	// Violations counts messages that violated the version protocol.
	Violations uint64 `json:"violations,omitempty"`
	Leaving    bool   `json:"leaving"`
	// Refused is the refused version above the one held, 0 if none, and Problems
	// are the reasons for its refusal.
	Refused  uint64          `json:"refused_version,omitempty"`
	Problems config.Problems `json:"refused_problems,omitempty"`
	// Rejected lists the organisations rejected from the version in force.
	Rejected []config.Rejection `json:"rejected,omitempty"`
	Fleet    []member.Record    `json:"fleet"`
	// InForce equals Summary.InForce.
	InForce uint64         `json:"in_force_everywhere"`
	Summary FleetSummary   `json:"summary"`
	Events  []JournalEntry `json:"events,omitempty"`
}

// Status returns the status of this proxy and of the fleet.
func (n *Node) Status() Status {
	s := Status{
		ID:      n.cfg.Dist.ID,
		Version: n.dist.EnforcedHead().Version,
		Root:    n.dist.EnforcedHead().Root,
		Role:    n.dist.Role().String(),
		Ready:   n.Ready(),
		Leaving: n.leaving,
		Fleet:   n.members.View(),
		Events:  n.journal.list(),
	}
	s.Waiting = n.dist.WaitReason()
	s.ReadyCause = n.dist.ReadyCause()
	s.SourceError = n.dist.SourceError()
	s.Violations = n.dist.Violations()
	s.Store = n.storeStats()
	s.Evacuation = n.EvacuationStats()
	s.Refused, s.Problems = n.dist.RefusedVersion()
	if current := n.dist.EnforcedSnapshot(); current != nil {
		s.Rejected = current.Rejected
	}
	s.Summary = summariseFleet(s.Fleet, n.members.UnknownInstances())
	s.Summary.Partition = n.members.Partition()
	s.InForce = s.Summary.InForce
	return s
}

// Head describes the configuration version in force at one proxy.
type Head struct {
	ID      string      `json:"id"`
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root"`
	// Since is when the version came into force.
	Since time.Time `json:"since"`
	Role  string    `json:"role"`
	Ready bool      `json:"ready"`
}

// Head returns the configuration version in force.
func (n *Node) Head() Head {
	h := n.dist.EnforcedHead()
	return Head{
		ID:      n.cfg.Dist.ID,
		Version: h.Version,
		Root:    h.Root,
		Since:   n.inForceSince,
		Role:    n.dist.Role().String(),
		Ready:   n.Ready(),
	}
}

// Ready reports whether the proxy accepts requests.
func (n *Node) Ready() bool {
	return n.dist.Ready() && !n.leaving
}

// Readiness tells whether a proxy accepts requests, and why it does not.
type Readiness struct {
	Ready, Leaving bool
	Waiting        string
}

// Readiness returns whether the proxy accepts requests.
func (n *Node) Readiness() Readiness {
	return Readiness{Ready: n.Ready(), Leaving: n.leaving, Waiting: n.dist.WaitReason()}
}

// Dump is the full state of the proxy, for debugging.
type Dump struct {
	Status   Status           `json:"status"`
	Snapshot *config.Snapshot `json:"snapshot"`
	// InFlight counts the requests in progress in the router.
	InFlight int `json:"in_flight"`
	// Running and Queued count the requests that the local backend server runs
	// and those that wait for it in this proxy.
	Running      int              `json:"running"`
	Queued       int              `json:"queued"`
	Admission    admission.State  `json:"admission"`
	Dedupe       dedupe.State     `json:"dedupe"`
	Quarantine   quarantine.State `json:"quarantine"`
	RequestStats RequestStats     `json:"load"`

	Rumours member.RumourStats `json:"rumours"`
}

// Dump returns the full state of the proxy.
func (n *Node) Dump() Dump {
	running, waiting := n.admission.InFlight()
	return Dump{
		Status:       n.Status(),
		Snapshot:     n.dist.EnforcedSnapshot(),
		InFlight:     n.router.InFlight(),
		Running:      running,
		Queued:       waiting,
		Admission:    n.admission.State(n.now),
		Dedupe:       n.dedupe.State(),
		Quarantine:   n.quarantine.State(),
		RequestStats: n.detailedRequestStats(),
		Rumours:      n.members.Rumours(),
	}
}

// Admission returns the state of admission, deduplication and quarantine.
func (n *Node) Admission() (admission.State, dedupe.State, quarantine.State) {
	return n.admission.State(n.now), n.dedupe.State(), n.quarantine.State()
}

// Explain returns the route, limits and candidate instances that apply to a
// request at the given time.
func (n *Node) Explain(now time.Time, org, method, path string) routing.Explanation {
	return n.router.Explain(now, org, method, path)
}

// StopLeavesTime reports whether a request of a route that is sent at the given time will
// probably be answered before this proxy, if it stops, ends requests.
func (n *Node) StopLeavesTime(now time.Time, route string, deadline time.Time) bool {
	return n.router.StopLeavesTime(now, route, deadline)
}

// Unroutable returns the refusal of a request that the version in force gives no route, or
// false if there is a route or no version.
func (n *Node) Unroutable(org, method, path string) (outcome.Refusal, bool) {
	return n.router.Unroutable(org, method, path)
}
