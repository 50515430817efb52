package dist

import (
	"fmt"
	"strings"
	"time"
)

const (
	// readyTimeout is how long a proxy waits for confirmation of its version
	// by other availability zones and the source before it becomes ready
	// without it.
	readyTimeout = 10 * time.Second
	// noPeersTimeout is how long a proxy that knows no other instance waits
	// to discover one.
	noPeersTimeout = 3 * time.Second
	// missingVersionTimeout is how long a proxy waits for a version that
	// was reported by a peer but that no live peer holds.
	missingVersionTimeout = 30 * time.Second
	// requiredZones is the number of availability zones whose instances must
	// have reported a version, or all zones with other instances if they are
	// fewer.
	requiredZones = 2
)

// readyState tells whether this instance accepts requests. Once ready, it stays
// ready.
type readyState struct {
	ready      bool
	cause      string
	waitReason string
}

// Ready reports whether the version held is in force.
func (d *Dist) Ready() bool {
	return d.ready.ready
}

// ReadyCause returns why the instance became ready, "" before it is.
func (d *Dist) ReadyCause() string {
	return d.ready.cause
}

// WaitReason returns why the instance is not ready, "" if it is.
func (d *Dist) WaitReason() string {
	if d.ready.ready {
		return ""
	}
	return d.ready.waitReason
}

func (d *Dist) updateReady(now time.Time) {
	r := &d.ready
	if r.ready {
		return
	}
	cause, waiting := d.assessReadiness(now)
	r.waitReason = waiting
	if waiting != "" {
		return
	}
	r.ready = true
	r.cause = cause
	d.emit(BecameReady{Cause: cause})
	d.emit(Enforce{Snapshot: d.current})
}

// assessReadiness returns why the instance may become ready, or else what it is
// waiting for.
func (d *Dist) assessReadiness(now time.Time) (cause, waiting string) {
	switch {
	case d.current == nil && d.refusal != nil:
		return "", fmt.Sprintf("version %d is refused and no other version is available: %v", d.refusal.Version, d.refusal.Problems)
	case d.current == nil:
		return "", "no version received from peers or the configuration source yet"
	case !d.current.Complete(d.servingScope()):
		return "", fmt.Sprintf("version %d is incomplete: not all services in scope have been received", d.current.Version)
	case d.cfg.Naive:
		return "read from the configuration source", ""
	}
	s := d.summarisePeers()
	uptime := now.Sub(d.started)
	if s.highest > d.current.Version {
		return "", fmt.Sprintf("%s holds version %d, this proxy holds version %d", s.holder, s.highest, d.current.Version)
	}
	if d.highestVersion > d.current.Version && uptime < missingVersionTimeout {
		return "", fmt.Sprintf("version %d was reported by a peer, but no live peer holds it", d.highestVersion)
	}
	if s.peers == 0 && uptime < noPeersTimeout {
		return "", "no other instance discovered yet"
	}
	return d.assessConfirmation(now, uptime, s)
}

// assessConfirmation returns a cause if enough availability zones have reported
// versions and the source has answered recently, or if readyTimeout has passed.
// Otherwise it returns what is missing.
func (d *Dist) assessConfirmation(now time.Time, uptime time.Duration, s peerSummary) (cause, waiting string) {
	var missing []string
	if required := min(requiredZones, s.zones); s.reportingZones < required {
		missing = append(missing, fmt.Sprintf("versions reported from %d of %d required availability zones", s.reportingZones, required))
	}
	if !d.sourceFresh(now) {
		missing = append(missing, "no fresh answer from the configuration source")
	}
	reason := strings.Join(missing, "; ")
	switch {
	case len(missing) == 0:
		return "version confirmed by peers and the configuration source", ""
	case uptime < readyTimeout:
		return "", reason
	default:
		return fmt.Sprintf("confirmation incomplete after %v: %s", readyTimeout, reason), ""
	}
}

// peerSummary summarises the versions reported by the other instances.
type peerSummary struct {
	// highest is the highest version reported, holder the instance that
	// holds it.
	highest uint64
	holder  string
	// peers is the number of other instances, zones the number of their
	// availability zones, and reportingZones the number of these zones in
	// which an instance has reported a version.
	peers, zones, reportingZones int
}

func (d *Dist) summarisePeers() peerSummary {
	var s peerSummary
	for _, zone := range d.fleet.zoneNames {
		others, reporting := 0, false
		for _, m := range d.fleet.zones[zone] {
			if m.id == d.cfg.ID {
				continue
			}
			others++
			head := d.peers[m.id].head
			reporting = reporting || head.Version > 0
			if head.Version > s.highest {
				s.highest, s.holder = head.Version, m.id
			}
		}
		s.peers += others
		if others > 0 {
			s.zones++
		}
		if reporting {
			s.reportingZones++
		}
	}
	return s
}
