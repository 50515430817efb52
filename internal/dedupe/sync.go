package dedupe

import (
	"slices"
	"time"
)

const (
	// propagationDelay is the time allowed for a membership change to become
	// known to all instances.
	propagationDelay = 2 * time.Second
	// firstInstanceTimeout is the time after which an instance that knows no
	// other assumes that it is the first of its service.
	firstInstanceTimeout = 5 * time.Second
	syncRetryInterval    = 500 * time.Millisecond
	// syncPasses is the number of times that each peer is asked for its grants.
	// The second pass finds the grants of claims that were made before the
	// peers knew of this instance.
	syncPasses = 2
)

// recovery is the progress of reading the grants of all peers. It runs after a
// start, and for one more pass when a peer has left or changed, so that each key
// regains its full number of owners.
type recovery struct {
	done     bool
	passes   int
	answered map[string]bool
	nextAt   time.Time
}

// continueRecovery asks the peers that have not answered in this pass, and ends
// the pass once all have.
func (d *Dedupe) continueRecovery(now time.Time) {
	r := &d.recovery
	if r.done || now.Before(r.nextAt) {
		return
	}
	r.nextAt = now.Add(syncRetryInterval)
	others := 0
	missing := 0
	for _, p := range d.views.current {
		if p.ID == d.cfg.Self {
			continue
		}
		others++
		if !r.answered[p.ID] {
			missing++
			d.emit(SendSyncRequest{To: p.ID, Address: p.Address, Request: SyncRequest{From: d.cfg.Self}})
		}
	}
	switch {
	case others == 0 && now.Sub(d.started) < firstInstanceTimeout:
	case others == 0:
		d.finishRecovery()
	case missing == 0:
		d.finishPass(now)
	}
}

func (d *Dedupe) finishPass(now time.Time) {
	d.recovery.passes++
	if d.recovery.passes >= syncPasses {
		d.finishRecovery()
		return
	}
	clear(d.recovery.answered)
	d.recovery.nextAt = now.Add(propagationDelay)
}

func (d *Dedupe) finishRecovery() {
	d.recovery.done = true
	d.synced = true
}

// scheduleResync schedules one more pass after a peer has left or changed.
func (d *Dedupe) scheduleResync(now time.Time) {
	if !d.synced {
		return
	}
	d.recovery = recovery{
		passes:   syncPasses - 1,
		answered: make(map[string]bool),
		nextAt:   now.Add(propagationDelay),
	}
}

func (d *Dedupe) syncAnswered(now time.Time, e SyncAnswered) {
	if e.Failed || d.recovery.done {
		return
	}
	d.grants.merge(now, e.Reply.Grants)
	d.recovery.answered[e.From] = true
}

// grantsFor returns the grants on the keys that a peer owns in the current or in
// a former view.
func (d *Dedupe) grantsFor(now time.Time, peer string) []Grant {
	list := d.grants.list(now)
	return slices.DeleteFunc(list, func(g Grant) bool {
		return !slices.ContainsFunc(d.views.ownerSets(g.Key), func(ownerSet []string) bool {
			return slices.Contains(ownerSet, peer)
		})
	})
}
