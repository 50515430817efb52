package node

import (
	"fmt"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/dedupe"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
)

// stepAdmission passes an event to admission and its effects to the state
// machines for deduplication and quarantine. It refuses requests in quarantine.
func (n *Node) stepAdmission(now time.Time, e admission.Event, out *Effects) {
	if arrived, ok := e.(admission.Arrived); ok {
		if refusal, quarantined := n.quarantine.Check(now, arrived.Fingerprint); quarantined {
			out.Admission = append(out.Admission, admission.Refuse{ID: arrived.ID, Refusal: refusal})
			return
		}
		arrived.KnownCrashes = max(arrived.KnownCrashes, n.quarantine.Known(arrived.Fingerprint))
		e = arrived
	}
	for _, effect := range n.admission.Step(now, e) {
		switch effect := effect.(type) {
		case admission.Claim:
			n.stepDedupe(now, dedupe.Claim{
				ID:           effect.ID,
				Request:      effect.Request,
				Organisation: effect.Organisation,
				Key:          effect.Key,
			}, out)
		case admission.ClaimClosed:
			n.stepDedupe(now, dedupe.Settle{ID: effect.ID, Ran: effect.Ran}, out)
		case admission.Crashed:
			n.journal.add(now, "backend server crashed", fmt.Sprintf("%d runs lost before, %d in flight", effect.Lost, effect.Running))
			n.recordCrashedRuns(now, effect, out)
		case admission.RateLimitChanged:
			n.journal.addRateLimit(now, n.backend.ID, effect)
		case admission.WarmUpChanged:
			effect.Instance = n.backend.ID
			out.Admission = append(out.Admission, effect)
		case admission.LeavingReported:
			n.journal.add(now, "backend server reports that it leaves", n.backend.ID)
		case admission.FingerprintAnswered:
			n.stepQuarantine(now, quarantine.Answered{Run: quarantine.Run{Fingerprint: effect.Fingerprint, Known: effect.KnownCrashes}}, out)
		case admission.Run:
			n.run(now, effect, out)
		default:
			out.Admission = append(out.Admission, effect)
		}
	}
}

// run passes on the start of a request, unless its fingerprint was put in quarantine
// while it waited.
func (n *Node) run(now time.Time, e admission.Run, out *Effects) {
	refusal, quarantined := n.quarantine.Check(now, n.admission.RunningFingerprint(e.ID))
	if !quarantined {
		out.Admission = append(out.Admission, e)
		return
	}
	out.Admission = append(out.Admission, admission.Refuse{ID: e.ID, Refusal: refusal})
	n.stepAdmission(now, admission.Ended{ID: e.ID, Outcome: refusal.Outcome, Reason: refusal.Reason}, out)
}

func (n *Node) stepDedupe(now time.Time, e dedupe.Event, out *Effects) {
	for _, effect := range n.dedupe.Step(now, e) {
		decided, ok := effect.(dedupe.Decided)
		if !ok {
			out.Dedupe = append(out.Dedupe, effect)
			continue
		}
		n.stepAdmission(now, admission.Claimed{ID: decided.ID, Granted: decided.Granted, Refusal: decided.Refusal}, out)
	}
}

// stepRouting passes an event to the router. It refuses requests in quarantine.
func (n *Node) stepRouting(now time.Time, e routing.Event, out *Effects) {
	switch event := e.(type) {
	case routing.Arrived:
		if refusal, quarantined := n.quarantine.Check(now, event.Fingerprint); quarantined {
			out.Routing = append(out.Routing, routing.Refuse{ID: event.ID, Refusal: refusal})
			return
		}
		event.KnownCrashes = n.quarantine.Known(event.Fingerprint)
		e = event
	case routing.AttemptEnded:
		n.recordAttempt(now, event, out)
	}
	for _, effect := range n.router.Step(now, e) {
		if leaving, ok := effect.(routing.InstanceLeaving); ok {
			n.journal.add(now, "instance reports that it leaves", leaving.Instance)
			continue
		}
		out.Routing = append(out.Routing, effect)
	}
}

// dedupePeers returns the instances of this service, which may own its
// idempotency keys.
func (n *Node) dedupePeers(view []member.Record) []dedupe.Peer {
	var peers []dedupe.Peer
	for _, r := range view {
		if r.Service == n.cfg.Member.Self.Service {
			peers = append(peers, dedupe.Peer{
				ID:               r.ID,
				AvailabilityZone: r.AvailabilityZone,
				Address:          r.PeerAddress,
				Leaving:          r.State == member.Leaving,
			})
		}
	}
	return peers
}

// PeerProcess identifies one process of another proxy.
type PeerProcess struct {
	// Address is where the process serves JSON-RPC 2.0 to other proxies.
	Address     string
	Incarnation uint64
}

// PeerProcess returns the current process of an instance's proxy, if it is known.
func (n *Node) PeerProcess(id string) (PeerProcess, bool) {
	l, ok := n.peers[id]
	return l, ok
}

func peersByID(view []member.Record) map[string]PeerProcess {
	m := make(map[string]PeerProcess, len(view))
	for _, r := range view {
		m[r.ID] = PeerProcess{Address: r.PeerAddress, Incarnation: r.Incarnation}
	}
	return m
}
