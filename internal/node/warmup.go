package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// listedWarmUp is what the entry of an instance states about its warm-up.
type listedWarmUp struct {
	revision uint64
	left     time.Duration
	// until is the end of the warm-up, counted from when the entry was first seen. It
	// is late rather than early, since the entry is older.
	until time.Time
}

// listWarmUps records the warm-ups that the entries of a list state. An entry counts once:
// the list is passed on again whenever another entry changes. It reports whether the entry
// of the local backend server is new.
func (n *Node) listWarmUps(now time.Time, list []source.Instance, local string) (localIsNew bool) {
	listed := make(map[string]listedWarmUp, len(list))
	for _, i := range list {
		w, ok := n.warmUps[i.ID]
		if !ok || w.revision != i.Revision || w.left != i.WarmUpLeft {
			w = listedWarmUp{revision: i.Revision, left: i.WarmUpLeft, until: now.Add(i.WarmUpLeft)}
			localIsNew = localIsNew || i.ID == local
		}
		listed[i.ID] = w
	}
	n.warmUps = listed
	return localIsNew
}

// coldUntil returns the end of the warm-up that the entry of an instance states, zero if
// it states none.
func (n *Node) coldUntil(id string) time.Time {
	if w := n.warmUps[id]; w.left > 0 {
		return w.until
	}
	return time.Time{}
}

// enforceServiceLimits passes the limits of the local backend server's service to
// admission.
func (n *Node) enforceServiceLimits(now time.Time, s *config.Snapshot, out *Effects) {
	n.stepAdmission(now, admission.ServiceLimited{Limits: s.Services[n.cfg.Member.Self.Service]}, out)
}
