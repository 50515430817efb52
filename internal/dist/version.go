package dist

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

const (
	// historyLength is the number of snapshots kept as bases for deltas.
	historyLength = 8
	// maxRefusalProblems is the maximum number of problems in a refusal.
	maxRefusalProblems = 20
	// refusalPullJitter is the maximum delay before a refusal is pulled.
	refusalPullJitter = time.Second
)

// accept replaces the snapshot held if s is newer, or has the same content and
// covers more services, and reports whether it did. The version held never
// decreases.
func (d *Dist) accept(from string, s *config.Snapshot) bool {
	if d.current != nil && s.Version <= d.current.Version && !d.extendsCurrent(from, s) {
		return false
	}
	newer := d.current == nil || s.Version > d.current.Version
	d.current = s
	d.addToHistory(s)
	if d.refusal != nil && d.refusal.Version <= s.Version {
		d.dropRefusal(from, s.Version)
	}
	if d.ready.ready {
		d.emit(Enforce{Snapshot: s})
	}
	if newer {
		d.announce()
	}
	return true
}

// extendsCurrent reports whether s has the content of the current snapshot and
// covers more services. Different content under the same version is a violation
// and is never applied.
func (d *Dist) extendsCurrent(from string, s *config.Snapshot) bool {
	if s.Version != d.current.Version {
		return false
	}
	if s.Root != d.current.Root {
		d.reportViolation(from, "content differs from the held content of the same version")
		return false
	}
	return len(s.Sets) > len(d.current.Sets)
}

// dropRefusal clears a refusal of a version that is at or below an accepted
// one.
func (d *Dist) dropRefusal(from string, version uint64) {
	if d.refusal.Version == version {
		d.reportViolation(from, "valid content received for a version that was reported as refused")
	}
	d.refusal = nil
}

func (d *Dist) addToHistory(s *config.Snapshot) {
	d.history = append(d.history, s)
	if len(d.history) > historyLength {
		d.history = slices.Delete(d.history, 0, len(d.history)-historyLength)
	}
}

// applyDelta builds a snapshot from a peer's delta and passes it to accept. The
// base of the delta may be any snapshot of the history. A delta without a base
// that covers only a part of the scope is merged into the partial snapshot. It
// reports whether the delta was usable; one that is older than the version held
// counts as usable and is ignored.
func (d *Dist) applyDelta(from string, delta *config.Delta) bool {
	if delta.Version < d.HeldHead().Version {
		return true
	}
	s, err := d.buildSnapshot(delta)
	switch {
	case err == nil:
		d.accept(from, s)
		return true
	case errors.Is(err, config.ErrIncompleteSnapshot) && delta.Base == "":
		return d.assemblePart(from, delta)
	case errors.Is(err, config.ErrBaseMismatch) || errors.Is(err, config.ErrIncompleteSnapshot):
		return false
	default:
		d.reportViolation(from, err.Error())
		return false
	}
}

// DeltaFrom returns the delta from the snapshot of the history with the given
// root to the current one, or a full transfer if there is none. A version must
// be held.
func (d *Dist) DeltaFrom(root config.Hash) *config.Delta {
	for _, base := range d.history {
		if base.Root == root {
			return config.Diff(base, d.current, nil)
		}
	}
	return config.Diff(nil, d.current, nil)
}

// BuildSnapshot builds a snapshot from a delta, against a snapshot of the
// history. The errors are those of config.Apply.
func (d *Dist) BuildSnapshot(delta *config.Delta) (*config.Snapshot, error) {
	return d.buildSnapshot(delta)
}

func (d *Dist) buildSnapshot(delta *config.Delta) (*config.Snapshot, error) {
	if delta.Base == "" {
		return config.Apply(nil, delta, d.scope())
	}
	for _, base := range slices.Backward(d.history) {
		if base.Root == delta.Base {
			return config.Apply(base, delta, d.scope())
		}
	}
	return nil, config.ErrBaseMismatch
}

// recordRefusal records that a version is refused as a whole. A refusal at or
// below the version held is obsolete: some proxy has read a version at least as
// high and found it valid.
func (d *Dist) recordRefusal(r *Refusal) {
	known, _ := d.RefusedVersion()
	if r == nil || r.Version <= d.HeldHead().Version || r.Version <= known {
		return
	}
	bounded := Refusal{Version: r.Version, Problems: r.Problems}
	if len(bounded.Problems) > maxRefusalProblems {
		bounded.Problems = slices.Clone(bounded.Problems[:maxRefusalProblems])
	}
	d.refusal = &bounded
	d.emit(VersionRefused(bounded))
	d.announce()
}

// recordHead records a head reported by a peer. Announcements and membership
// records never lower it.
func (d *Dist) recordHead(from string, h Head) {
	p, known := d.peers[from]
	if !known || h.Version < p.head.Version || h == p.head {
		return
	}
	p.head = h
	d.peers[from] = p
	d.highestVersion = max(d.highestVersion, h.Version)
	if d.current != nil && h.Version == d.current.Version && h.Root != d.current.Root {
		d.reportViolation(from, "content differs from the held content of the same version")
	}
}

// scheduleRefusalPull schedules a pull of the refusal that the record of a peer
// refers to. The jitter keeps the instances of a fleet from pulling at the same
// moment.
func (d *Dist) scheduleRefusalPull(now time.Time, r member.Record) {
	known, _ := d.RefusedVersion()
	if r.Refused <= d.HeldHead().Version || r.Refused <= known || r.State > member.Leaving || d.pull.refusalPeer != "" {
		return
	}
	d.pull.refusalPeer = r.ID
	at := now.Add(jitter(d.rng, refusalPullJitter))
	if d.pull.recheckAt.After(at) {
		d.pull.recheckAt = at
	}
}

func (d *Dist) handleAnnouncement(now time.Time, a Announcement) {
	if d.cfg.Naive {
		return
	}
	d.recordHead(a.From, a.Head)
	if a.Delta != nil && d.applyDelta(a.From, a.Delta) {
		d.pull.recordSuccess(now)
	}
	d.recordRefusal(a.Refusal)
}
