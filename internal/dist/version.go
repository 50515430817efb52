package dist

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

const (
	// historyLength is the number of snapshots kept as bases of deltas.
	historyLength = 8
	// maxRefusalProblems bounds the problems that a refusal carries.
	maxRefusalProblems = 20
	// refusalJitter is the longest wait before a refusal is asked for.
	refusalJitter = time.Second
)

// accept holds a snapshot if it is newer than the one held, or holds more of
// the same content. The version held never falls.
func (d *Dist) accept(from string, s *config.Snapshot) bool {
	if d.current != nil && s.Version <= d.current.Version && !d.widens(from, s) {
		return false
	}
	newer := d.current == nil || s.Version > d.current.Version
	d.current = s
	d.remember(s)
	if d.refusal != nil && d.refusal.Version <= s.Version {
		d.supersede(from, s.Version)
	}
	if d.ready.ready {
		d.emit(Enforce{Snapshot: s})
	}
	if newer {
		d.announce()
	}
	return true
}

// widens reports whether s holds more sets of the content held. Other content
// under the same version is a violation and is never applied.
func (d *Dist) widens(from string, s *config.Snapshot) bool {
	if s.Version != d.current.Version {
		return false
	}
	if s.Root != d.current.Root {
		d.violation(from, "other content under the version held")
		return false
	}
	return len(s.Sets) > len(d.current.Sets)
}

// supersede drops a refusal at or below an accepted version.
func (d *Dist) supersede(from string, version uint64) {
	if d.refusal.Version == version {
		d.violation(from, "valid content under a refused version")
	}
	d.refusal = nil
}

func (d *Dist) remember(s *config.Snapshot) {
	d.history = append(d.history, s)
	if len(d.history) > historyLength {
		d.history = slices.Delete(d.history, 0, len(d.history)-historyLength)
	}
}

// apply makes a snapshot from a peer's delta, against whichever remembered
// snapshot it was made for, and accepts it if it is newer. It reports whether
// the delta was usable.
func (d *Dist) apply(from string, delta *config.Delta) bool {
	if delta.Version < d.Held().Version {
		return true
	}
	s, err := d.build(delta)
	switch {
	case err == nil:
		d.accept(from, s)
		return true
	case errors.Is(err, config.ErrIncomplete) && delta.Base == "":
		return d.assemble(from, delta)
	case errors.Is(err, config.ErrBase) || errors.Is(err, config.ErrIncomplete):
		return false
	default:
		d.violation(from, err.Error())
		return false
	}
}

// DeltaFrom returns the delta from the remembered snapshot with the root to the
// one held, or a whole transfer if there is none. A version must be held.
func (d *Dist) DeltaFrom(root config.Hash) *config.Delta {
	for _, base := range d.history {
		if base.Root == root {
			return config.Diff(base, d.current, nil)
		}
	}
	return config.Diff(nil, d.current, nil)
}

// Build makes a snapshot from a delta against a remembered snapshot. The
// errors are those of config.Apply.
func (d *Dist) Build(delta *config.Delta) (*config.Snapshot, error) {
	return d.build(delta)
}

func (d *Dist) build(delta *config.Delta) (*config.Snapshot, error) {
	if delta.Base == "" {
		return config.Apply(nil, delta, d.scope())
	}
	for _, base := range slices.Backward(d.history) {
		if base.Root == delta.Base {
			return config.Apply(base, delta, d.scope())
		}
	}
	return nil, config.ErrBase
}

// refuse records that a version is refused as a whole. A refusal at or below
// the version held is obsolete: some proxy read it whole and valid.
func (d *Dist) refuse(r *Refusal) {
	known, _ := d.RefusedVersion()
	if r == nil || r.Version <= d.Held().Version || r.Version <= known {
		return
	}
	bounded := Refusal{Version: r.Version, Problems: r.Problems}
	if len(bounded.Problems) > maxRefusalProblems {
		bounded.Problems = slices.Clone(bounded.Problems[:maxRefusalProblems])
	}
	d.refusal = &bounded
	d.emit(Refused(bounded))
	d.announce()
}

// heard records the head of a peer; an announcement or record never lowers it.
func (d *Dist) heard(from string, h Head) {
	p, known := d.peers[from]
	if !known || h.Version < p.head.Version || h == p.head {
		return
	}
	p.head = h
	d.peers[from] = p
	d.highest = max(d.highest, h.Version)
	if d.current != nil && h.Version == d.current.Version && h.Root != d.current.Root {
		d.violation(from, "other content under the version held")
	}
}

// heardRefused asks a peer soon for the refusal that its record names. The
// jitter keeps a herd from asking at once.
func (d *Dist) heardRefused(now time.Time, r member.Record) {
	known, _ := d.RefusedVersion()
	if r.Refused <= d.Held().Version || r.Refused <= known || r.State > member.Leaving || d.pull.refusedBy != "" {
		return
	}
	d.pull.refusedBy = r.ID
	at := now.Add(jitter(d.rng, refusalJitter))
	if d.pull.recheck.After(at) {
		d.pull.recheck = at
	}
}

func (d *Dist) announced(now time.Time, a Announcement) {
	if d.cfg.Naive {
		return
	}
	d.heard(a.From, a.Head)
	if a.Delta != nil && d.apply(a.From, a.Delta) {
		d.pull.succeeded(now)
	}
	d.refuse(a.Refusal)
}
