package dedupe

import (
	"slices"
	"time"
)

// Grant is what an owner remembers of a key.
type Grant struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	// Holders names the claims that are not settled.
	Holders []string `json:"holders,omitempty"`
	// Ran reports that the request may have been run to its end.
	Ran bool `json:"ran,omitempty"`
	// Age is the time since the last change.
	Age time.Duration `json:"age_ns"`
}

// grantEntry is a Grant with the time of its last change.
type grantEntry struct {
	Grant
	at time.Time
}

// expiry is an element of the order in which grants are forgotten.
type expiry struct {
	key string
	at  time.Time
}

// grants is an owner's memory. It forgets nothing before the window has
// passed; beyond the limit it grants nothing.
type grants struct {
	window  time.Duration
	limit   int
	entries map[string]*grantEntry
	order   []expiry
}

func newGrants(window time.Duration, limit int) *grants {
	return &grants{window: window, limit: limit, entries: make(map[string]*grantEntry)}
}

// claim records a claim and returns the vote.
func (g *grants) claim(now time.Time, r ClaimRequest) ClaimReply {
	g.expire(now)
	e, ok := g.entries[r.Key]
	switch {
	case !ok && len(g.entries) >= g.limit:
		return ClaimReply{Vote: Abstained}
	case !ok:
		e = &grantEntry{Grant: Grant{Key: r.Key, Request: r.Request}}
		g.entries[r.Key] = e
		g.order = append(g.order, expiry{key: r.Key, at: now})
	case e.Request != r.Request || e.Ran:
		return ClaimReply{Vote: Seen, Ran: e.Ran}
	}
	if !slices.Contains(e.Holders, r.Holder) {
		e.Holders = append(e.Holders, r.Holder)
	}
	e.at = now
	return ClaimReply{Vote: Granted}
}

// settle ends a claim. A key is forgotten when no claim on it is left and its
// request was not run.
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
		e.at = now
		return
	}
	e.Holders = slices.Delete(e.Holders, i, i+1)
	if len(e.Holders) == 0 && !e.Ran {
		delete(g.entries, s.Key)
	}
}

// expire forgets grants that have not changed for the window.
func (g *grants) expire(now time.Time) {
	for len(g.order) > 0 && now.Sub(g.order[0].at) > g.window {
		first := g.order[0]
		g.order = g.order[1:]
		e, ok := g.entries[first.key]
		switch {
		case !ok:
		case now.Sub(e.at) > g.window:
			delete(g.entries, first.key)
		default:
			g.order = append(g.order, expiry{key: first.key, at: e.at})
		}
	}
}

// list returns all grants.
func (g *grants) list(now time.Time) []Grant {
	list := make([]Grant, 0, len(g.entries))
	for _, e := range g.entries {
		grant := e.Grant
		grant.Holders = slices.Clone(e.Holders)
		grant.Age = now.Sub(e.at)
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

// merge takes in the grants of a peer. Where two requests claimed one key it
// keeps the one that is known already; the key is taken either way.
func (g *grants) merge(now time.Time, list []Grant) {
	for _, grant := range list {
		e, ok := g.entries[grant.Key]
		switch {
		case grant.Age > g.window:
		case !ok:
			at := now.Add(-max(0, grant.Age))
			g.entries[grant.Key] = &grantEntry{Grant: grant, at: at}
			g.order = append(g.order, expiry{key: grant.Key, at: at})
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
