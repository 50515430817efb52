package dedupe

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const retryAfter = time.Second

// claim is a claim of this instance.
type claim struct {
	id      uint64
	request ClaimRequest
	at      time.Time
	// quorums holds sets of owners; of each a majority must grant.
	quorums [][]string
	asked   []Peer
	votes   map[string]Vote
	decided bool
}

func (d *Dedupe) claim(now time.Time, e Claim) {
	d.counters.Claims++
	c := &claim{id: e.ID, at: now, votes: make(map[string]Vote)}
	c.request = ClaimRequest{
		Key:     d.digest(e.Organisation, e.Key),
		Request: e.Request,
		Holder:  d.cfg.Origin + "/" + strconv.FormatUint(e.ID, 36),
	}
	d.claims[e.ID] = c
	// An instance that has just started may know a part of the view only.
	if !d.synced || !d.views.complete(now) {
		d.refuse(now, c, outcome.ClaimFailed)
		return
	}
	c.quorums = d.views.quorums(c.request.Key)
	d.ask(now, c)
	d.decide(now, c)
}

// ask sends the claim to every owner of each view that is still present.
func (d *Dedupe) ask(now time.Time, c *claim) {
	for _, quorum := range c.quorums {
		for _, id := range quorum {
			p, live := d.views.live(id)
			if !live || slices.ContainsFunc(c.asked, func(q Peer) bool { return q.ID == id }) {
				continue
			}
			c.asked = append(c.asked, p)
			if id == d.cfg.Self {
				c.votes[id] = d.vote(now, c.request).Vote
				continue
			}
			d.emit(AskClaim{ID: c.id, To: id, Address: p.Address, Request: c.request})
		}
	}
}

func (d *Dedupe) claimAnswered(now time.Time, e ClaimAnswered) {
	c, ok := d.claims[e.ID]
	if !ok || c.decided {
		return
	}
	vote := e.Reply.Vote
	if e.Failed {
		vote = Abstained
	}
	c.votes[e.From] = vote
	d.decide(now, c)
}

// timeOut counts the owners that have not answered as abstaining.
func (d *Dedupe) timeOut(now time.Time, c *claim) {
	for _, p := range c.asked {
		if _, ok := c.votes[p.ID]; !ok {
			c.votes[p.ID] = Abstained
		}
	}
	d.decide(now, c)
}

// decide ends the claim when one owner has seen the key or all have answered.
func (d *Dedupe) decide(now time.Time, c *claim) {
	for _, vote := range c.votes {
		if vote == Seen {
			d.refuse(now, c, outcome.Duplicate)
			return
		}
	}
	if len(c.votes) < len(c.asked) {
		return
	}
	for _, quorum := range c.quorums {
		if !c.majority(quorum) {
			d.refuse(now, c, outcome.ClaimFailed)
			return
		}
	}
	c.decided = true
	d.counters.Granted++
	d.emit(Decided{ID: c.id, Granted: true})
}

func (c *claim) majority(quorum []string) bool {
	granted := 0
	for _, id := range quorum {
		if c.votes[id] == Granted {
			granted++
		}
	}
	return granted > len(quorum)/2
}

// refuse ends a claim that was not granted. If another request with the key
// was seen it may have been run, so that the outcome is unknown.
func (d *Dedupe) refuse(now time.Time, c *claim, reason outcome.Reason) {
	refusal := outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     reason,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	}
	d.counters.Failed++
	if reason == outcome.Duplicate {
		d.counters.Failed--
		d.counters.Seen++
		refusal.Outcome = outcome.Unknown
		refusal.Status = http.StatusConflict
	}
	d.emit(Decided{ID: c.id, Refusal: refusal})
	d.release(now, c, false)
}

// settle ends a claim of this instance.
func (d *Dedupe) settle(now time.Time, e Settle) {
	c, ok := d.claims[e.ID]
	if !ok {
		return
	}
	d.release(now, c, e.Ran)
}

// release tells every owner that was asked what became of the claim.
func (d *Dedupe) release(now time.Time, c *claim, ran bool) {
	delete(d.claims, c.id)
	s := Settlement{Key: c.request.Key, Holder: c.request.Holder, Ran: ran}
	for _, p := range c.asked {
		if p.ID == d.cfg.Self {
			d.grants.settle(now, s)
		} else {
			d.emit(Tell{Address: p.Address, Settlement: s})
		}
	}
}
