package limit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// sendRequests requests credits for the organisations, with one message to each
// owner.
func (l *Limiter) sendRequests(now time.Time, orgs []string) {
	byOwner := make(map[string][]string)
	addresses := make(map[string]string)
	for _, org := range orgs {
		s := l.shares[org]
		s.queued = false
		owner, ok := l.owner(org, s)
		if !ok {
			s.useStaticShare(now)
			continue
		}
		byOwner[owner.ID] = append(byOwner[owner.ID], org)
		addresses[owner.ID] = owner.Address
	}
	for _, id := range slices.Sorted(maps.Keys(byOwner)) {
		l.requestCredits(now, id, addresses[id], byOwner[id])
	}
}

// owner returns the proxy to request credits from: the owner, or the backup owner
// after a failure.
func (l *Limiter) owner(org string, s *share) (Member, bool) {
	if s.ownersView != l.view.seq {
		s.owners = l.view.owners(org)
		s.ownersView = l.view.seq
	}
	if len(s.owners) == 0 {
		return Member{}, false
	}
	return s.owners[s.failures%len(s.owners)], true
}

func (l *Limiter) requestCredits(now time.Time, id, address string, orgs []string) {
	request := Request{From: l.cfg.ID}
	for _, org := range orgs {
		s := l.shares[org]
		request.CreditRequests = append(request.CreditRequests, CreditRequest{
			Organisation: org, Limit: int(s.limit), Version: l.configVersion, Rate: math.Round(s.rateAt(now)*unitsPerCredit) / unitsPerCredit, Debt: s.debt,
		})
		s.requestPending = true
		s.requestedAt = now
		s.reportedDebt = s.debt
		s.debt = 0
	}
	l.stats.CreditRequests += uint64(len(orgs))
	l.lastNumber++
	l.pending[l.lastNumber] = pendingRequest{organisations: orgs, sentAt: now}
	if id == l.cfg.ID {
		l.answered(now, Answered{Number: l.lastNumber, Reply: l.answer(now, request)})
		return
	}
	l.effects = append(l.effects, SendRequest{Number: l.lastNumber, Address: address, Request: request})
}

// answered stores the credits that an owner granted. Grants for organisations that
// were not in the request are ignored.
func (l *Limiter) answered(now time.Time, e Answered) {
	p, ok := l.pending[e.Number]
	if !ok {
		return
	}
	delete(l.pending, e.Number)
	for _, g := range e.Reply.Grants {
		if s := l.shares[g.Organisation]; s != nil && slices.Contains(p.organisations, g.Organisation) {
			s.applyGrant(now, p.sentAt, g)
		}
	}
	for _, org := range p.organisations {
		if s := l.shares[org]; s != nil {
			s.requestPending = false
		}
	}
}

func (s *share) applyGrant(now, sentAt time.Time, g Grant) {
	s.failures = 0
	s.staticUntil = time.Time{}
	s.reportedDebt = 0
	s.nextRequestAt = now.Add(max(minRequestInterval, time.Duration(g.RetryMs)*time.Millisecond))
	if g.Scarce {
		s.scarceUntil = s.nextRequestAt.Add(minRetry)
	}
	s.addCredits(creditBatch{credits: g.Credits, expiresAt: sentAt.Add(time.Duration(g.LifetimeMs) * time.Millisecond)})
}

// failed makes the next request go to the other owner. Once all owners have
// failed, it falls back to the static share.
func (l *Limiter) failed(now time.Time, number uint64) {
	p, ok := l.pending[number]
	if !ok {
		return
	}
	delete(l.pending, number)
	l.stats.Failures++
	for _, org := range p.organisations {
		s := l.shares[org]
		if s == nil {
			continue
		}
		s.requestPending = false
		s.debt += s.reportedDebt
		s.reportedDebt = 0
		s.failures++
		s.nextRequestAt = now.Add(minRequestInterval)
		if s.failures >= len(s.owners) {
			s.useStaticShare(now)
			s.nextRequestAt = now.Add(staticPeriod / 2)
		}
	}
}

func (s *share) useStaticShare(now time.Time) {
	if !now.Before(s.staticUntil) {
		s.staticRefilledAt = now
	}
	s.staticUntil = now.Add(staticPeriod)
}
