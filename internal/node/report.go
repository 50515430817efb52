package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/routing"
)

// Status is the fleet as this proxy sees it.
type Status struct {
	ID       string             `json:"id"`
	Version  uint64             `json:"version"`
	Root     config.Hash        `json:"root"`
	Role     string             `json:"role"`
	Ready    bool               `json:"ready"`
	Waiting  string             `json:"waiting,omitempty"`
	Leaving  bool               `json:"leaving"`
	Refused  uint64             `json:"refused_version,omitempty"`
	Problems config.Problems    `json:"refused_problems,omitempty"`
	Rejected []config.Rejection `json:"rejected,omitempty"`
	Fleet    []member.Record    `json:"fleet"`
	// InForce is the highest version in force at every live instance.
	InForce uint64  `json:"in_force_everywhere"`
	Events  []Entry `json:"events,omitempty"`
}

// Status returns the fleet's status.
func (n *Node) Status() Status {
	s := Status{
		ID:      n.cfg.Dist.ID,
		Version: n.dist.Head().Version,
		Root:    n.dist.Head().Root,
		Role:    n.dist.Role().String(),
		Ready:   n.Ready(),
		Leaving: n.leaving,
		Fleet:   n.members.View(),
		Events:  n.journal.list(),
	}
	s.Waiting = n.waiting()
	s.Refused, s.Problems = n.dist.RefusedVersion()
	if current := n.dist.Snapshot(); current != nil {
		s.Rejected = current.Rejected
	}
	s.InForce = inForceEverywhere(s.Fleet)
	return s
}

func inForceEverywhere(fleet []member.Record) uint64 {
	var lowest uint64
	for i, r := range fleet {
		if i == 0 || r.Version < lowest {
			lowest = r.Version
		}
	}
	return lowest
}

// Ready reports whether the proxy takes requests.
func (n *Node) Ready() bool {
	return n.dist.Snapshot() != nil && !n.leaving
}

func (n *Node) waiting() string {
	if n.dist.Snapshot() == nil {
		return "no version learnt from peers or source yet"
	}
	return ""
}

// Dump is the state of the proxy.
type Dump struct {
	Status   Status           `json:"status"`
	Snapshot *config.Snapshot `json:"snapshot"`
	InFlight int              `json:"in_flight"`
	Running  int              `json:"running"`
	Queued   int              `json:"queued"`
	Load     Load             `json:"load"`
}

// Dump returns the state of the proxy.
func (n *Node) Dump() Dump {
	running, waiting := n.admission.InFlight()
	return Dump{
		Status:   n.Status(),
		Snapshot: n.dist.Snapshot(),
		InFlight: n.router.InFlight(),
		Running:  running,
		Queued:   waiting,
		Load:     n.dumpLoad(),
	}
}

// Explain returns what applies to a request at the given time.
func (n *Node) Explain(now time.Time, org, method, path string) routing.Explanation {
	return n.router.Explain(now, org, method, path)
}

// Head returns the version in force.
func (n *Node) Head() dist.Head {
	return n.dist.Head()
}
