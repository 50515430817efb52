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
	retryAfter = time.Second
	// maxRetries bounds how often a claim that met another one is made anew:
	// of several at the same time each may have got a part of the owners.
	maxRetries = 3
	// maxBackoff bounds the first wait before a claim is made anew; it doubles
	// with each try.
	maxBackoff = 100 * time.Millisecond
)

// claim is a claim of this instance.
type claim struct {
	id      uint64
	request ClaimRequest
	at      time.Time
	// quorums holds sets of owners; of each a majority must grant.
	quorums [][]string
	asked   []Peer
	votes   map[string]Vote
	// ran reports that an owner knows of a run with the key.
	ran     bool
	decided bool
	retries int
	// releases counts the tries that gave their grants back.
	releases int
	// retryAt is when the claim is made anew, zero while it is in progress.
	retryAt time.Time
}

func (d *Dedupe) claim(now time.Time, e Claim) {
	d.counters.Claims++
	c := &claim{id: e.ID}
	c.request = ClaimRequest{Key: d.digest(e.Organisation, e.Key), Request: e.Request}
	d.claims[e.ID] = c
	d.begin(now, c)
}

// begin makes a claim under a holder of its own, so that the release of an
// earlier try cannot end it.
func (d *Dedupe) begin(now time.Time, c *claim) {
	c.at = now
	c.retryAt = time.Time{}
	c.asked = nil
	c.votes = make(map[string]Vote)
	c.request.Holder = d.cfg.Origin + "/" + strconv.FormatUint(c.id, 36) + "/" + strconv.Itoa(c.releases)
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
				reply := d.vote(now, c.request)
				c.votes[id] = reply.Vote
				c.ran = c.ran || reply.Ran
				continue
			}
			d.emit(AskClaim{ID: c.id, To: id, Address: p.Address, Request: c.request})
		}
	}
}

func (d *Dedupe) claimAnswered(now time.Time, e ClaimAnswered) {
	c, ok := d.claims[e.ID]
	if !ok || c.decided || !c.retryAt.IsZero() || c.request.Holder != e.Holder {
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

// timeOut counts the owners that have not answered as abstaining.
func (d *Dedupe) timeOut(now time.Time, c *claim) {
	for _, p := range c.asked {
		if _, ok := c.votes[p.ID]; !ok {
			c.votes[p.ID] = Abstained
		}
	}
	d.decide(now, c)
}

// decide ends the claim when one owner knows of a run or all have answered.
func (d *Dedupe) decide(now time.Time, c *claim) {
	if c.ran {
		d.refuse(now, c, outcome.Duplicate)
		return
	}
	if len(c.votes) < len(c.asked) {
		return
	}
	won := !slices.ContainsFunc(c.quorums, func(quorum []string) bool { return !c.majority(quorum) })
	switch {
	case c.seen():
		d.lose(now, c, won)
	case won:
		c.decided = true
		d.counters.Granted++
		d.emit(Decided{ID: c.id, Granted: true})
	default:
		d.refuse(now, c, outcome.ClaimFailed)
	}
}

// lose gives way to another claim whose request is not known to have run.
// Both may have lost, so that this one is made anew after a while. A claim with
// a majority keeps it, and waits for the other to give way.
func (d *Dedupe) lose(now time.Time, c *claim, won bool) {
	if c.retries == maxRetries {
		d.refuse(now, c, outcome.Duplicate)
		return
	}
	c.retries++
	c.retryAt = now
	if !won {
		d.tell(now, c, false)
		c.releases++
		spread := uint64(maxBackoff) << c.retries
		c.retryAt = now.Add(time.Duration(xxhash.Sum64String(c.request.Holder) % spread))
		c.asked = nil
	}
}

func (c *claim) seen() bool {
	for _, vote := range c.votes {
		if vote == Seen {
			return true
		}
	}
	return false
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

func (d *Dedupe) release(now time.Time, c *claim, ran bool) {
	delete(d.claims, c.id)
	d.tell(now, c, ran)
}

// tell tells every owner that was asked what became of the claim.
func (d *Dedupe) tell(now time.Time, c *claim, ran bool) {
	s := Settlement{Key: c.request.Key, Holder: c.request.Holder, Ran: ran}
	for _, p := range c.asked {
		if p.ID == d.cfg.Self {
			d.grants.settle(now, s)
		} else {
			d.emit(Tell{Address: p.Address, Settlement: s})
		}
	}
}
