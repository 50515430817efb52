package member

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds on rumours.
const (
	// MaxRumours bounds the rumours that an instance holds.
	MaxRumours = 256
	// MaxRumoursBytes bounds the total size of their keys and payloads.
	MaxRumoursBytes = 128 << 10
	// MaxRumourKeyBytes bounds the size of a key.
	MaxRumourKeyBytes = 128
	// MaxRumourPayloadBytes bounds the size of a payload.
	MaxRumourPayloadBytes = 2 << 10
	// MaxRumourTTL bounds the lifetime of a rumour.
	MaxRumourTTL = time.Hour
	// maxKnownRumours bounds the keys remembered of rumours that expired or
	// were evicted by newer ones.
	maxKnownRumours = 4 * MaxRumours
	// expiredKeyRetention is how long the key of a rumour is remembered after
	// its expiry, so that a late copy is not taken for a new rumour.
	expiredKeyRetention = 10 * time.Second
)

// Rumour is a short piece of information that must reach every proxy within
// seconds. It is disseminated by gossip.
type Rumour struct {
	// Key identifies the rumour. A second rumour with the same key is dropped
	// while the first is held and until copies in flight have expired.
	Key     string          `json:"key"`
	Payload json.RawMessage `json:"payload"`
	// TTL is the remaining lifetime.
	TTL time.Duration `json:"ttl"`
}

func (r Rumour) size() int {
	return len(r.Key) + len(r.Payload)
}

// valid reports whether the rumour is within the bounds.
func (r Rumour) valid() bool {
	return r.Key != "" && len(r.Key) <= MaxRumourKeyBytes &&
		len(r.Payload) <= MaxRumourPayloadBytes && json.Valid(r.Payload) &&
		r.TTL > 0 && r.TTL <= MaxRumourTTL
}

// heldRumour is a rumour with its expiry time.
type heldRumour struct {
	Rumour
	expires time.Time
	// stale marks a copy that may have been buffered for long before it was
	// read. It is not forwarded, as its remaining lifetime is unknown.
	stale bool
}

// rumours is a bounded table of rumours.
type rumours struct {
	// held holds the rumours, oldest first; bytes is their total size.
	held  []*heldRumour
	bytes int
	// known maps the keys of held and past rumours to the time until which
	// they are remembered; keyOrder holds them, oldest first.
	known    map[string]time.Time
	keyOrder []string
	// hash is the sum of the hashes of all held rumours.
	hash uint64
	// dropped counts rumours evicted before they expired.
	dropped uint64
}

func newRumours() rumours {
	return rumours{known: make(map[string]time.Time)}
}

// add stores a rumour that is not known yet and reports whether it was new. A
// copy that is not stale makes a stale one fresh.
func (t *rumours) add(now time.Time, r Rumour, stale bool) (*heldRumour, bool) {
	if _, ok := t.known[r.Key]; ok {
		if !stale {
			t.refresh(now, r)
		}
		return nil, false
	}
	h := &heldRumour{Rumour: r, expires: now.Add(r.TTL), stale: stale}
	t.held = append(t.held, h)
	t.bytes += r.size()
	t.hash += h.hash()
	t.known[r.Key] = h.expires.Add(expiredKeyRetention)
	t.keyOrder = append(t.keyOrder, r.Key)
	for len(t.held) > MaxRumours || t.bytes > MaxRumoursBytes {
		t.remove(0)
		t.dropped++
	}
	t.evictKeys(func(string) bool { return len(t.keyOrder) > MaxRumours+maxKnownRumours })
	return h, true
}

// refresh sets the expiry of a stale copy from a fresh one and clears its mark.
func (t *rumours) refresh(now time.Time, r Rumour) {
	for _, h := range t.held {
		if h.stale && h.Key == r.Key {
			h.stale = false
			h.expires = now.Add(r.TTL)
			t.hash += h.hash()
			t.known[r.Key] = h.expires.Add(expiredKeyRetention)
		}
	}
}

// hash is the rumour's contribution to the hash of the table. A stale copy
// contributes nothing, so that the table differs from those that hold a fresh
// one and the exchange brings one here.
func (h *heldRumour) hash() uint64 {
	if h.stale {
		return 0
	}
	return xxhash.Sum64String(h.Key)
}

// evictKeys removes the keys of rumours that are no longer held and for which
// the condition is true, checking the oldest first.
func (t *rumours) evictKeys(condition func(key string) bool) {
	held := make(map[string]bool, len(t.held))
	for _, h := range t.held {
		held[h.Key] = true
	}
	for i := 0; i < len(t.keyOrder); {
		key := t.keyOrder[i]
		if held[key] || !condition(key) {
			i++
			continue
		}
		delete(t.known, key)
		t.keyOrder = slices.Delete(t.keyOrder, i, i+1)
	}
}

func (t *rumours) remove(i int) {
	h := t.held[i]
	t.bytes -= h.size()
	t.hash -= h.hash()
	t.held = slices.Delete(t.held, i, i+1)
}

// expire removes rumours whose TTL has passed, and keys that no longer need to
// be remembered.
func (t *rumours) expire(now time.Time) {
	if len(t.keyOrder) == 0 {
		return
	}
	for i := len(t.held) - 1; i >= 0; i-- {
		if !now.Before(t.held[i].expires) {
			t.remove(i)
		}
	}
	t.evictKeys(func(key string) bool { return !now.Before(t.known[key]) })
}

// withRemainingTTL returns the rumour with the TTL that remains at the given
// time.
func (h *heldRumour) withRemainingTTL(now time.Time) Rumour {
	r := h.Rumour
	r.TTL = h.expires.Sub(now)
	return r
}
