package dedupe

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"time"
)

// Config holds the parameters of a Dedupe.
type Config struct {
	// Self is the identifier of this instance.
	Self string
	// RunID is unique to this run of the process.
	RunID   string
	Service string
	// Window is how long a key is remembered after its last change. It must
	// exceed the longest deadline.
	Window time.Duration
	// ClaimTimeout is how long a claim waits for the owners' votes.
	ClaimTimeout time.Duration
	// MaxGrants is the number of keys at which an owner starts to abstain from
	// claims on new keys.
	MaxGrants int
}

const (
	defaultWindow       = 5 * time.Minute
	defaultClaimTimeout = 150 * time.Millisecond
	defaultMaxGrants    = 100_000
	digestBytes         = 16
)

// Dedupe is the state machine. The zero value is not usable.
type Dedupe struct {
	cfg      Config
	started  time.Time
	synced   bool
	recovery recovery
	views    views
	grants   *grants
	claims   map[uint64]*claim
	counters Counters
	effects  []Effect
}

// New returns a state machine that has no grants.
func New(cfg Config) *Dedupe {
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.ClaimTimeout = cmp.Or(cfg.ClaimTimeout, defaultClaimTimeout)
	cfg.MaxGrants = cmp.Or(cfg.MaxGrants, defaultMaxGrants)
	return &Dedupe{
		cfg:      cfg,
		recovery: recovery{answered: make(map[string]bool)},
		views:    views{window: cfg.Window},
		grants:   newGrants(cfg.Window, cfg.MaxGrants),
		claims:   make(map[uint64]*claim),
	}
}

// Step applies an event at the given time and returns its effects.
func (d *Dedupe) Step(now time.Time, e Event) []Effect {
	d.effects = nil
	if d.started.IsZero() {
		d.started = now
	}
	switch e := e.(type) {
	case PeersChanged:
		if d.views.update(now, e.Peers, d.synced) {
			d.scheduleResync(now)
		}
	case Claim:
		d.claim(now, e)
	case Settle:
		d.settle(now, e)
	case ClaimReceived:
		d.emit(ReplyClaim{Call: e.Call, Reply: d.vote(now, e.Request)})
	case Settled:
		d.grants.settle(now, e.Settlement)
	case SyncReceived:
		d.emit(ReplySync{Call: e.Call, Reply: SyncReply{Grants: d.grantsFor(now, e.Request.From)}})
	case ClaimAnswered:
		d.claimAnswered(now, e)
	case SyncAnswered:
		d.syncAnswered(now, e)
	case Tick:
		d.tick(now)
	}
	return d.effects
}

func (d *Dedupe) emit(e Effect) {
	d.effects = append(d.effects, e)
}

func (d *Dedupe) tick(now time.Time) {
	d.continueRecovery(now)
	d.grants.expire(now)
	d.views.expire(now)
	for _, id := range d.dueClaims(now) {
		c := d.claims[id]
		if c.retryAt.IsZero() {
			d.timeOut(now, c)
		} else {
			d.startAttempt(now, c)
		}
	}
}

// dueClaims returns the IDs of the claims that have timed out or are due for a
// retry, in ascending order.
func (d *Dedupe) dueClaims(now time.Time) []uint64 {
	var ids []uint64
	for id, c := range d.claims {
		retry := !c.retryAt.IsZero()
		overdue := !retry && !c.granted && now.Sub(c.attemptStartedAt) >= d.cfg.ClaimTimeout
		if overdue || (retry && !now.Before(c.retryAt)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// vote answers a claim as an owner. Before its first sync an owner records the
// claim but abstains instead of granting it, since it may have lost grants in a
// restart.
func (d *Dedupe) vote(now time.Time, r ClaimRequest) ClaimReply {
	d.counters.Votes++
	reply := d.grants.claim(now, r)
	if reply.Vote == Granted && !d.synced {
		reply.Vote = Abstained
	}
	return reply
}

// digest returns a hash that identifies an organisation's key in this service.
func (d *Dedupe) digest(organisation, key string) string {
	text := strconv.Quote(organisation) + strconv.Quote(d.cfg.Service) + strconv.Quote(key)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// Counters counts claims and votes since the start of the process.
type Counters struct {
	Claims  uint64 `json:"claims"`
	Granted uint64 `json:"granted"`
	// Denied counts claims refused because the key was claimed by another request
	// or a request with the key may have run.
	Denied uint64 `json:"seen"`
	// ClaimsFailed counts claims refused because too few owners granted them or
	// this instance might not have known all owners.
	ClaimsFailed uint64 `json:"failed"`
	// Votes counts the votes that this instance gave as an owner.
	Votes uint64 `json:"votes"`
}

// State is a summary of the state for status and state dumps.
type State struct {
	// Synced reports that this instance has read the grants of its peers, or
	// has found none, and may grant claims.
	Synced bool `json:"synced"`
	// Keys is the number of keys that this instance remembers as an owner.
	Keys        int      `json:"keys"`
	FormerViews int      `json:"former_views"`
	OpenClaims  int      `json:"open_claims"`
	Counters    Counters `json:"counters"`
}

// State returns a summary of the current state.
func (d *Dedupe) State() State {
	return State{
		Synced:      d.synced,
		Keys:        len(d.grants.entries),
		FormerViews: len(d.views.former),
		OpenClaims:  len(d.claims),
		Counters:    d.counters,
	}
}
