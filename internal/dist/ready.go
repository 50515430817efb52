package dist

import (
	"fmt"
	"strings"
	"time"
)

const (
	// readyTimeout is how long a proxy waits for heads of other availability
	// zones and for the source before it does without.
	readyTimeout = 10 * time.Second
	// aloneTimeout is how long a proxy that knows of no other waits.
	aloneTimeout = 3 * time.Second
	// lostTimeout is how long a proxy waits for a version that it heard of
	// and that no living peer holds.
	lostTimeout = 30 * time.Second
	// zonesWanted is the number of availability zones that must be heard.
	zonesWanted = 2
)

// readyState tells whether this instance takes requests. A proxy that was
// ready stays ready.
type readyState struct {
	ready   bool
	cause   string
	waiting string
}

// Ready reports whether the version held is in force here.
func (d *Dist) Ready() bool {
	return d.ready.ready
}

// ReadyCause tells why the instance became ready.
func (d *Dist) ReadyCause() string {
	return d.ready.cause
}

// Waiting tells why the instance is not ready, "" if it is.
func (d *Dist) Waiting() string {
	if d.ready.ready {
		return ""
	}
	return d.ready.waiting
}

func (d *Dist) updateReady(now time.Time) {
	r := &d.ready
	if r.ready {
		return
	}
	cause, waiting := d.assess(now)
	r.waiting = waiting
	if waiting != "" {
		return
	}
	r.ready = true
	r.cause = cause
	d.emit(BecameReady{Cause: cause})
	d.emit(Enforce{Snapshot: d.current})
}

// assess returns why the instance may become ready, or why it has to wait.
func (d *Dist) assess(now time.Time) (cause, waiting string) {
	switch {
	case d.current == nil && d.refusal != nil:
		return "", fmt.Sprintf("version %d is refused and no other was learnt: %v", d.refusal.Version, d.refusal.Problems)
	case d.current == nil:
		return "", "no version learnt from peers or source yet"
	case !d.current.Complete(d.ownScope()):
		return "", fmt.Sprintf("version %d is held in part", d.current.Version)
	case d.cfg.Naive:
		return "read from the source", ""
	}
	s := d.survey()
	age := now.Sub(d.started)
	if s.highest > d.current.Version {
		return "", fmt.Sprintf("%s holds version %d, this proxy %d", s.holder, s.highest, d.current.Version)
	}
	if d.highest > d.current.Version && age < lostTimeout {
		return "", fmt.Sprintf("version %d was heard of, no living peer holds it", d.highest)
	}
	if s.peers == 0 && age < aloneTimeout {
		return "", "no other instance is known yet"
	}
	return d.assessEvidence(now, age, s)
}

// assessEvidence weighs who has confirmed the version held.
func (d *Dist) assessEvidence(now time.Time, age time.Duration, s survey) (cause, waiting string) {
	var missing []string
	if wanted := min(zonesWanted, s.zones); s.heardZones < wanted {
		missing = append(missing, fmt.Sprintf("heads heard from %d of %d availability zones", s.heardZones, wanted))
	}
	if !d.sourceFresh(now) {
		missing = append(missing, "no fresh answer of the configuration source")
	}
	text := strings.Join(missing, "; ")
	switch {
	case len(missing) == 0:
		return "peers and source confirm the version", ""
	case age < readyTimeout:
		return "", text
	default:
		return fmt.Sprintf("waited %v: %s", readyTimeout, text), ""
	}
}

// survey is what the living peers tell.
type survey struct {
	// highest is the highest head of a living peer, held by holder.
	highest uint64
	holder  string
	// peers counts the other instances, zones their availability zones and
	// heardZones those of which one holds a version.
	peers, zones, heardZones int
}

func (d *Dist) survey() survey {
	var s survey
	for _, zone := range d.fleet.zoneNames {
		others, heard := 0, false
		for _, m := range d.fleet.zones[zone] {
			if m.id == d.cfg.ID {
				continue
			}
			others++
			head := d.peers[m.id].head
			heard = heard || head.Version > 0
			if head.Version > s.highest {
				s.highest, s.holder = head.Version, m.id
			}
		}
		s.peers += others
		if others > 0 {
			s.zones++
		}
		if heard {
			s.heardZones++
		}
	}
	return s
}
