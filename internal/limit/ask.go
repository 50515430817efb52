package limit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// send asks the owners of the organisations, with one message for each owner.
func (l *Limiter) send(now time.Time, orgs []string) {
	byOwner := make(map[string][]string)
	addresses := make(map[string]string)
	for _, org := range orgs {
		s := l.shares[org]
		s.queued = false
		owner, ok := l.owner(org, s)
		if !ok {
			s.startStatic(now)
			continue
		}
		byOwner[owner.ID] = append(byOwner[owner.ID], org)
		addresses[owner.ID] = owner.Address
	}
	for _, id := range slices.Sorted(maps.Keys(byOwner)) {
		l.ask(now, id, addresses[id], byOwner[id])
	}
}

// owner returns the proxy to ask: the owner, or its stand-in after a failure.
func (l *Limiter) owner(org string, s *share) (Member, bool) {
	if s.view != l.view.seq {
		s.owners = l.view.owners(org)
		s.view = l.view.seq
	}
	if len(s.owners) == 0 {
		return Member{}, false
	}
	return s.owners[s.failures%len(s.owners)], true
}

func (l *Limiter) ask(now time.Time, id, address string, orgs []string) {
	request := Request{From: l.cfg.ID}
	for _, org := range orgs {
		s := l.shares[org]
		request.Asks = append(request.Asks, Ask{
			Organisation: org, Limit: int(s.limit), Version: l.version, Rate: math.Round(s.rateAt(now)*creditUnits) / creditUnits, Debt: s.debt,
		})
		s.asked = true
		s.askedAt = now
		s.askedDebt = s.debt
		s.debt = 0
	}
	l.stats.Asks += uint64(len(orgs))
	l.number++
	l.asks[l.number] = ask{organisations: orgs, at: now}
	if id == l.cfg.ID {
		l.answered(now, Answered{Number: l.number, Reply: l.answer(now, request)})
		return
	}
	l.effects = append(l.effects, Send{Number: l.number, Address: address, Request: request})
}

// answered takes the credits that an owner granted. Grants that were not asked
// for are ignored.
func (l *Limiter) answered(now time.Time, e Answered) {
	a, ok := l.asks[e.Number]
	if !ok {
		return
	}
	delete(l.asks, e.Number)
	for _, g := range e.Reply.Grants {
		if s := l.shares[g.Organisation]; s != nil && slices.Contains(a.organisations, g.Organisation) {
			s.granted(now, a.at, g)
		}
	}
	for _, org := range a.organisations {
		if s := l.shares[org]; s != nil {
			s.asked = false
		}
	}
}

func (s *share) granted(now, askedAt time.Time, g Grant) {
	s.failures = 0
	s.staticUntil = time.Time{}
	s.askedDebt = 0
	s.nextAsk = now.Add(max(askInterval, time.Duration(g.RetryMs)*time.Millisecond))
	if g.Scarce {
		s.scarceEnd = s.nextAsk.Add(busyRetry)
	}
	s.add(batch{credits: g.Credits, until: askedAt.Add(time.Duration(g.LifetimeMs) * time.Millisecond)})
}

// failed turns to the other owner, and to the static share if both failed.
func (l *Limiter) failed(now time.Time, number uint64) {
	a, ok := l.asks[number]
	if !ok {
		return
	}
	delete(l.asks, number)
	l.stats.Failures++
	for _, org := range a.organisations {
		s := l.shares[org]
		if s == nil {
			continue
		}
		s.asked = false
		s.debt += s.askedDebt
		s.askedDebt = 0
		s.failures++
		s.nextAsk = now.Add(askInterval)
		if s.failures >= len(s.owners) {
			s.startStatic(now)
			s.nextAsk = now.Add(staticTime / 2)
		}
	}
}

func (s *share) startStatic(now time.Time) {
	if !now.Before(s.staticUntil) {
		s.staticAt = now
	}
	s.staticUntil = now.Add(staticTime)
}
