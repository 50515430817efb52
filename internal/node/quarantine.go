package node

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// stepQuarantine passes an event to the quarantine and logs what it records.
func (n *Node) stepQuarantine(now time.Time, e quarantine.Event, out *Effects) {
	for _, effect := range n.quarantine.Step(now, e) {
		switch effect := effect.(type) {
		case quarantine.Recorded:
			n.journal.addSuspects(now, effect)
		case quarantine.Cleared:
			n.journal.add(now, "suspect cleared", fmt.Sprintf("fingerprint %x was answered after %d crashes", effect.Fingerprint, effect.Crashes))
		default:
			out.Quarantine = append(out.Quarantine, effect)
		}
	}
}

// recordCrashedRuns passes a crash of the local backend server to the quarantine.
func (n *Node) recordCrashedRuns(now time.Time, e admission.Crashed, out *Effects) {
	crashed := quarantine.Crashed{Runs: make([]quarantine.Run, 0, len(e.Runs))}
	for _, r := range e.Runs {
		crashed.Runs = append(crashed.Runs, quarantine.Run{Fingerprint: r.Fingerprint, Known: r.KnownCrashes, Prime: r.Prime})
	}
	n.stepQuarantine(now, crashed, out)
}

// recordAttempt passes the result of an attempt by this proxy to the quarantine. The
// proxy beside the crashed backend server reports the same crash, but may be lost
// before it has told others.
func (n *Node) recordAttempt(now time.Time, e routing.AttemptEnded, out *Effects) {
	fingerprint, known, ok := n.router.Fingerprint(e.ID)
	if !ok {
		return
	}
	run := quarantine.Run{Fingerprint: fingerprint, Known: known}
	switch {
	case e.Outcome == outcome.Answered:
		n.stepQuarantine(now, quarantine.Answered{Run: run}, out)
	case e.Reason == outcome.BackendServerCrashed:
		n.stepQuarantine(now, quarantine.Crashed{Runs: []quarantine.Run{run}}, out)
	}
}

// listedPeers returns the peer addresses of the other proxies on the store's list.
func (n *Node) listedPeers(list []source.Instance) quarantine.PeersChanged {
	var e quarantine.PeersChanged
	for _, i := range list {
		if i.BackendAddress != n.cfg.BackendAddress {
			e.Addresses = append(e.Addresses, i.PeerAddress)
		}
	}
	return e
}

// viewedPeers returns the peer addresses of the other proxies of the membership.
func (n *Node) viewedPeers(view []member.Record) quarantine.PeersChanged {
	var e quarantine.PeersChanged
	for _, r := range view {
		if r.ID != n.cfg.Member.Self.ID && r.State <= member.Suspect {
			e.Addresses = append(e.Addresses, r.PeerAddress)
		}
	}
	return e
}

// maxLoggedSuspects bounds the fingerprints in one entry.
const maxLoggedSuspects = 8

// addSuspects records the requests that are suspected of a crash.
func (j *journal) addSuspects(now time.Time, r quarantine.Recorded) {
	source := "told by another proxy"
	if r.Local {
		source = "seen here"
	}
	held := "not refused"
	if !r.QuarantinedUntil.IsZero() {
		held = "refused for up to " + r.QuarantinedUntil.Sub(now).Round(time.Millisecond).String()
	}
	j.add(now, "requests suspected of a crash", fmt.Sprintf("%s, fingerprints %s, up to %d crashes each, %s",
		source, formatFingerprints(r.Fingerprints), r.MostCrashes, held))
}

// formatFingerprints lists fingerprints in hexadecimal, as the decision log does.
func formatFingerprints(fingerprints []uint64) string {
	var b strings.Builder
	for i, f := range fingerprints {
		if i == maxLoggedSuspects {
			fmt.Fprintf(&b, " and %d more", len(fingerprints)-i)
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(f, 16))
	}
	return b.String()
}
