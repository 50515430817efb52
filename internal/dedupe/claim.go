package dedupe

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// retryAfter is the Retry-After of a request whose claim was refused.
	retryAfter = time.Second
	// maxRetries bounds the retries of a claim after a conflict. Of several
	// concurrent claims, each may get the grants of only some owners, so that
	// none has a majority.
	maxRetries = 3
	// baseBackoff scales the backoff of a claim without a majority: before retry
	// n, counted from 1, it waits a pseudo-random time of less than
	// baseBackoff << n.
	baseBackoff = 100 * time.Millisecond
)

// claim is a claim made by this instance.
type claim struct {
	id               uint64
	request          ClaimRequest
	attemptStartedAt time.Time
	// ownerSets holds the distinct owner sets of the key in the current and the
	// former views. A majority of each set must grant the claim.
	ownerSets [][]string
	// contacted holds the owners that were sent the current attempt.
	contacted []Peer
	votes     map[string]Vote
	// ran reports that an owner knows of a request with the key that may have run.
	ran     bool
	granted bool
	retries int
	// releasedAttempts counts the attempts whose grants were released.
	releasedAttempts int
	// retryAt is when the claim is retried; zero while an attempt is in progress.
	retryAt time.Time
}

func (d *Dedupe) claim(now time.Time, e Claim) {
	d.counters.Claims++
	c := &claim{id: e.ID}
	c.request = ClaimRequest{Key: d.digest(e.Organisation, e.Key), Request: e.Request}
	d.claims[e.ID] = c
	d.startAttempt(now, c)
}

// startAttempt sends the claim to the owners of the key. After a release it uses
// a new holder, so that the release of an earlier attempt cannot end this one.
func (d *Dedupe) startAttempt(now time.Time, c *claim) {
	c.attemptStartedAt = now
	c.retryAt = time.Time{}
	c.contacted = nil
	c.votes = make(map[string]Vote)
	c.request.Holder = d.cfg.RunID + "/" + strconv.FormatUint(c.id, 36) + "/" + strconv.Itoa(c.releasedAttempts)
	// The owners may be known only in part if this instance has just started
	// or has dropped former views early.
	if !d.synced || !d.views.complete(now) {
		d.refuse(now, c, outcome.ClaimFailed)
		return
	}
	c.ownerSets = d.views.ownerSets(c.request.Key)
	d.requestVotes(now, c)
	d.decide(now, c)
}

// requestVotes sends the claim to the owners, of any view, that are still members.
func (d *Dedupe) requestVotes(now time.Time, c *claim) {
	for _, ownerSet := range c.ownerSets {
		for _, id := range ownerSet {
			p, live := d.views.lookup(id)
			if !live || slices.ContainsFunc(c.contacted, func(q Peer) bool { return q.ID == id }) {
				continue
			}
			c.contacted = append(c.contacted, p)
			if id == d.cfg.Self {
				reply := d.vote(now, c.request)
				c.votes[id] = reply.Vote
				c.ran = c.ran || reply.Ran
				continue
			}
			d.emit(SendClaim{ID: c.id, To: id, Address: p.Address, Request: c.request})
		}
	}
}

func (d *Dedupe) claimAnswered(now time.Time, e ClaimAnswered) {
	c, ok := d.claims[e.ID]
	if !ok || c.granted || !c.retryAt.IsZero() || c.request.Holder != e.Holder {
		return
	}
	vote := e.Reply.Vote
	if e.Failed {
		vote = Abstained
	}
	c.votes[e.From] = vote
	c.ran = c.ran || e.Reply.Ran
	d.decide(now, c)
}

// timeOut records an abstention for each owner that has not answered.
func (d *Dedupe) timeOut(now time.Time, c *claim) {
	for _, p := range c.contacted {
		if _, ok := c.votes[p.ID]; !ok {
			c.votes[p.ID] = Abstained
		}
	}
	d.decide(now, c)
}

// decide ends the attempt once an owner reports that a request with the key may
// have run, or once all contacted owners have answered.
func (d *Dedupe) decide(now time.Time, c *claim) {
	if c.ran {
		d.refuse(now, c, outcome.DuplicateKey)
		return
	}
	if len(c.votes) < len(c.contacted) {
		return
	}
	hasQuorum := !slices.ContainsFunc(c.ownerSets, func(ownerSet []string) bool { return !c.hasMajority(ownerSet) })
	switch {
	case c.hasConflict():
		d.yield(now, c, hasQuorum)
	case hasQuorum:
		c.granted = true
		d.counters.Granted++
		d.emit(Decided{ID: c.id, Granted: true})
	default:
		d.refuse(now, c, outcome.ClaimFailed)
	}
}

// yield handles a conflict with a claim whose request is not known to have run.
// Without a majority this claim releases its grants and is retried after a
// backoff, since the other may have no majority either. With a majority it keeps
// its grants and is retried at the next tick, to wait for the other's release.
// After maxRetries retries it is refused.
func (d *Dedupe) yield(now time.Time, c *claim, hasQuorum bool) {
	if c.retries == maxRetries {
		d.refuse(now, c, outcome.DuplicateKey)
		return
	}
	c.retries++
	c.retryAt = now
	if !hasQuorum {
		d.notifyOwners(now, c, false)
		c.releasedAttempts++
		maxDelay := uint64(baseBackoff) << c.retries
		c.retryAt = now.Add(time.Duration(xxhash.Sum64String(c.request.Holder) % maxDelay))
		c.contacted = nil
	}
}

func (c *claim) hasConflict() bool {
	for _, vote := range c.votes {
		if vote == Denied {
			return true
		}
	}
	return false
}

func (c *claim) hasMajority(ownerSet []string) bool {
	granted := 0
	for _, id := range ownerSet {
		if c.votes[id] == Granted {
			granted++
		}
	}
	return granted > len(ownerSet)/2
}

// refuse ends a claim that was not granted. For a duplicate key the outcome is
// unknown, since a request with the key may have run.
func (d *Dedupe) refuse(now time.Time, c *claim, reason outcome.Reason) {
	refusal := outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     reason,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	}
	d.counters.ClaimsFailed++
	if reason == outcome.DuplicateKey {
		d.counters.ClaimsFailed--
		d.counters.Denied++
		refusal.Outcome = outcome.Unknown
		refusal.Status = http.StatusConflict
	}
	d.emit(Decided{ID: c.id, Refusal: refusal})
	d.endClaim(now, c, false)
}

// settle ends a claim whose request has ended or is not going to run.
func (d *Dedupe) settle(now time.Time, e Settle) {
	c, ok := d.claims[e.ID]
	if !ok {
		return
	}
	d.endClaim(now, c, e.Ran)
}

// endClaim removes the claim and notifies the contacted owners. Its grants are
// released unless ran is set.
func (d *Dedupe) endClaim(now time.Time, c *claim, ran bool) {
	delete(d.claims, c.id)
	d.notifyOwners(now, c, ran)
}

// notifyOwners sends a Settlement of the claim to every contacted owner. The
// grants are released unless ran is set.
func (d *Dedupe) notifyOwners(now time.Time, c *claim, ran bool) {
	s := Settlement{Key: c.request.Key, Holder: c.request.Holder, Ran: ran}
	for _, p := range c.contacted {
		if p.ID == d.cfg.Self {
			d.grants.settle(now, s)
		} else {
			d.emit(SendSettlement{Address: p.Address, Settlement: s})
		}
	}
}
