package dedupe

import (
	"slices"
	"time"
)

// Grant is an owner's record of a key.
type Grant struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	// Holders identifies the claims of the request that were not released.
	Holders []string `json:"holders,omitempty"`
	// Ran reports that the request may have run.
	Ran bool `json:"ran,omitempty"`
	// Age is the time since the last change.
	Age time.Duration `json:"age_ns"`
}

// grantEntry is a Grant with the time of its last change.
type grantEntry struct {
	Grant
	changedAt time.Time
}

// expiryEntry is an element of the queue in which grants expire.
type expiryEntry struct {
	key string
	at  time.Time
}

// grants holds the grants of an owner. It evicts nothing before the window has
// passed: once it holds maxEntries keys, it abstains from claims on new ones.
type grants struct {
	window      time.Duration
	maxEntries  int
	entries     map[string]*grantEntry
	expiryQueue []expiryEntry
}

func newGrants(window time.Duration, maxEntries int) *grants {
	return &grants{window: window, maxEntries: maxEntries, entries: make(map[string]*grantEntry)}
}

// claim records a claim and returns the vote.
func (g *grants) claim(now time.Time, r ClaimRequest) ClaimReply {
	g.expire(now)
	e, ok := g.entries[r.Key]
	switch {
	case !ok && len(g.entries) >= g.maxEntries:
		return ClaimReply{Vote: Abstained}
	case !ok:
		e = &grantEntry{Grant: Grant{Key: r.Key, Request: r.Request}}
		g.entries[r.Key] = e
		g.expiryQueue = append(g.expiryQueue, expiryEntry{key: r.Key, at: now})
	case e.Request != r.Request || e.Ran:
		return ClaimReply{Vote: Denied, Ran: e.Ran}
	}
	if !slices.Contains(e.Holders, r.Holder) {
		e.Holders = append(e.Holders, r.Holder)
	}
	e.changedAt = now
	return ClaimReply{Vote: Granted}
}

// settle ends a claim. The grant is removed when no claim on the key is left and
// its request did not run.
func (g *grants) settle(now time.Time, s Settlement) {
	e, ok := g.entries[s.Key]
	if !ok {
		return
	}
	i := slices.Index(e.Holders, s.Holder)
	if i < 0 {
		return
	}
	if s.Ran {
		e.Ran = true
		e.changedAt = now
		return
	}
	e.Holders = slices.Delete(e.Holders, i, i+1)
	if len(e.Holders) == 0 && !e.Ran {
		delete(g.entries, s.Key)
	}
}

// expire removes the grants that have not changed within the window.
func (g *grants) expire(now time.Time) {
	for len(g.expiryQueue) > 0 && now.Sub(g.expiryQueue[0].at) > g.window {
		first := g.expiryQueue[0]
		g.expiryQueue = g.expiryQueue[1:]
		e, ok := g.entries[first.key]
		switch {
		case !ok:
		case now.Sub(e.changedAt) > g.window:
			delete(g.entries, first.key)
		default:
			g.expiryQueue = append(g.expiryQueue, expiryEntry{key: first.key, at: e.changedAt})
		}
	}
}

// list returns all grants, sorted by key.
func (g *grants) list(now time.Time) []Grant {
	list := make([]Grant, 0, len(g.entries))
	for _, e := range g.entries {
		grant := e.Grant
		grant.Holders = slices.Clone(e.Holders)
		grant.Age = now.Sub(e.changedAt)
		list = append(list, grant)
	}
	slices.SortFunc(list, func(a, b Grant) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return list
}

// merge adds the grants of a peer. If the peer's grant on a key is for another
// request, the local one is kept: the key is claimed in either case.
func (g *grants) merge(now time.Time, list []Grant) {
	for _, grant := range list {
		e, ok := g.entries[grant.Key]
		switch {
		case grant.Age > g.window:
		case !ok:
			at := now.Add(-max(0, grant.Age))
			g.entries[grant.Key] = &grantEntry{Grant: grant, changedAt: at}
			g.expiryQueue = append(g.expiryQueue, expiryEntry{key: grant.Key, at: at})
		case e.Request == grant.Request:
			e.Ran = e.Ran || grant.Ran
			for _, holder := range grant.Holders {
				if !slices.Contains(e.Holders, holder) {
					e.Holders = append(e.Holders, holder)
				}
			}
		}
	}
}
