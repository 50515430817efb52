package dedupe

import (
	"slices"
	"time"
)

const (
	// settleTime is the time in which a new instance becomes known to the
	// others.
	settleTime = 2 * time.Second
	// aloneAfter is the time after which an instance that hears of no other
	// counts as the first of its service.
	aloneAfter = 5 * time.Second
	syncRetry  = 500 * time.Millisecond
	// syncPasses is the number of times that every peer is asked. The second
	// pass finds the grants of claims that were made before the others knew
	// of this instance.
	syncPasses = 2
)

// recovery reads the grants of all peers after a start, and once again when a
// peer has gone, so that each key has its full number of owners.
type recovery struct {
	done     bool
	passes   int
	answered map[string]bool
	next     time.Time
}

// recover asks the peers that have not answered, until all have done so in
// each pass.
func (d *Dedupe) recover(now time.Time) {
	r := &d.recovery
	if r.done || now.Before(r.next) {
		return
	}
	r.next = now.Add(syncRetry)
	others := 0
	missing := 0
	for _, p := range d.views.current {
		if p.ID == d.cfg.Self {
			continue
		}
		others++
		if !r.answered[p.ID] {
			missing++
			d.emit(AskSync{To: p.ID, Address: p.Address, Request: SyncRequest{From: d.cfg.Self}})
		}
	}
	switch {
	case others == 0 && now.Sub(d.started) < aloneAfter:
	case others == 0:
		d.endRecovery()
	case missing == 0:
		d.endPass(now)
	}
}

func (d *Dedupe) endPass(now time.Time) {
	d.recovery.passes++
	if d.recovery.passes >= syncPasses {
		d.endRecovery()
		return
	}
	clear(d.recovery.answered)
	d.recovery.next = now.Add(settleTime)
}

func (d *Dedupe) endRecovery() {
	d.recovery.done = true
	d.synced = true
}

// repair plans one more pass after a peer has gone.
func (d *Dedupe) repair(now time.Time) {
	if !d.synced {
		return
	}
	d.recovery = recovery{
		passes:   syncPasses - 1,
		answered: make(map[string]bool),
		next:     now.Add(settleTime),
	}
}

func (d *Dedupe) syncAnswered(now time.Time, e SyncAnswered) {
	if e.Failed || d.recovery.done {
		return
	}
	d.grants.merge(now, e.Reply.Grants)
	d.recovery.answered[e.From] = true
}

// grantsFor returns the grants of the keys that a peer owns, or has owned in
// a former view.
func (d *Dedupe) grantsFor(now time.Time, peer string) []Grant {
	list := d.grants.list(now)
	return slices.DeleteFunc(list, func(g Grant) bool {
		return !slices.ContainsFunc(d.views.quorums(g.Key), func(quorum []string) bool {
			return slices.Contains(quorum, peer)
		})
	})
}
