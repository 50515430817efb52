package dedupe

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"time"
)

// Config sets the parameters.
type Config struct {
	// Self is the identifier of this instance.
	Self string
	// Origin is unique to this start of the process.
	Origin  string
	Service string
	// Window is the time for which a key is remembered. It must exceed the
	// longest deadline.
	Window time.Duration
	// ClaimTimeout is the time in which owners must answer.
	ClaimTimeout time.Duration
	// MaxGrants bounds the keys that an owner remembers.
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

// New returns a state machine that remembers nothing.
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
		if d.views.change(now, e.Peers, d.synced) {
			d.repair(now)
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
	d.recover(now)
	d.grants.expire(now)
	d.views.expire(now)
	for _, id := range d.due(now) {
		c := d.claims[id]
		if c.retryAt.IsZero() {
			d.timeOut(now, c)
		} else {
			d.begin(now, c)
		}
	}
}

// due returns the claims whose owners did not all answer in time, and those
// to be made anew.
func (d *Dedupe) due(now time.Time) []uint64 {
	var ids []uint64
	for id, c := range d.claims {
		retry := !c.retryAt.IsZero()
		overdue := !retry && !c.decided && now.Sub(c.at) >= d.cfg.ClaimTimeout
		if overdue || (retry && !now.Before(c.retryAt)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// vote answers a claim as an owner. An owner that has just started records
// the claim but does not vouch for what it cannot know.
func (d *Dedupe) vote(now time.Time, r ClaimRequest) ClaimReply {
	d.counters.Votes++
	reply := d.grants.claim(now, r)
	if reply.Vote == Granted && !d.synced {
		reply.Vote = Abstained
	}
	return reply
}

// digest identifies a key of an organisation of the service.
func (d *Dedupe) digest(organisation, key string) string {
	text := strconv.Quote(organisation) + strconv.Quote(d.cfg.Service) + strconv.Quote(key)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}

// Counters counts what was decided since the start.
type Counters struct {
	Claims  uint64 `json:"claims"`
	Granted uint64 `json:"granted"`
	Seen    uint64 `json:"seen"`
	Failed  uint64 `json:"failed"`
	Votes   uint64 `json:"votes"`
}

// State is the state for a dump.
type State struct {
	// Synced reports that this instance vouches for what it remembers.
	Synced bool `json:"synced"`
	// Keys is the number of keys remembered as an owner.
	Keys        int      `json:"keys"`
	FormerViews int      `json:"former_views"`
	OpenClaims  int      `json:"open_claims"`
	Counters    Counters `json:"counters"`
}

// State returns the state.
func (d *Dedupe) State() State {
	return State{
		Synced:      d.synced,
		Keys:        len(d.grants.entries),
		FormerViews: len(d.views.former),
		OpenClaims:  len(d.claims),
		Counters:    d.counters,
	}
}
