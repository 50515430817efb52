package member

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of rumours.
const (
	// MaxRumours bounds the rumours that an instance holds.
	MaxRumours = 256
	// MaxRumoursBytes bounds their keys and payloads together.
	MaxRumoursBytes = 128 << 10
	// MaxRumourKeyBytes bounds a key.
	MaxRumourKeyBytes = 128
	// MaxRumourPayloadBytes bounds a payload.
	MaxRumourPayloadBytes = 2 << 10
	// MaxRumourTTL bounds the life of a rumour.
	MaxRumourTTL = time.Hour
	// maxKnownRumours bounds the keys remembered of rumours that expired or
	// made way for newer ones.
	maxKnownRumours = 4 * MaxRumours
	// rumourMemory is how long the key of an expired rumour is remembered,
	// so that a late copy is not taken for a new one.
	rumourMemory = 10 * time.Second
)

// Rumour is a short fact that every proxy must learn within seconds.
type Rumour struct {
	// Key names the rumour; a second one with the same key is dropped until
	// the first has expired and copies in flight are gone.
	Key     string          `json:"key"`
	Payload json.RawMessage `json:"payload"`
	// TTL is the remaining life.
	TTL time.Duration `json:"ttl"`
}

func (r Rumour) size() int {
	return len(r.Key) + len(r.Payload)
}

// valid reports whether the rumour keeps the bounds.
func (r Rumour) valid() bool {
	return r.Key != "" && len(r.Key) <= MaxRumourKeyBytes &&
		len(r.Payload) <= MaxRumourPayloadBytes && json.Valid(r.Payload) &&
		r.TTL > 0 && r.TTL <= MaxRumourTTL
}

// heldRumour is a rumour with its time of expiry.
type heldRumour struct {
	Rumour
	expires time.Time
	// stale marks a copy that may have waited for long before it was read. It
	// is not passed on, as its remaining life is not known.
	stale bool
}

// rumours is a bounded table, oldest first.
type rumours struct {
	held  []*heldRumour
	bytes int
	known map[string]time.Time
	// order holds the keys known, oldest first.
	order   []string
	hash    uint64
	dropped uint64
}

func newRumours() rumours {
	return rumours{known: make(map[string]time.Time)}
}

// add stores a rumour that is not known yet and reports whether it was new. A
// fresh copy takes the place of a stale one.
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
	t.known[r.Key] = h.expires.Add(rumourMemory)
	t.order = append(t.order, r.Key)
	for len(t.held) > MaxRumours || t.bytes > MaxRumoursBytes {
		t.remove(0)
		t.dropped++
	}
	t.forgetKeys(func(string) bool { return len(t.order) > MaxRumours+maxKnownRumours })
	return h, true
}

// refresh corrects the life of a stale copy by a fresh one.
func (t *rumours) refresh(now time.Time, r Rumour) {
	for _, h := range t.held {
		if h.stale && h.Key == r.Key {
			h.stale = false
			h.expires = now.Add(r.TTL)
			t.hash += h.hash()
			t.known[r.Key] = h.expires.Add(rumourMemory)
		}
	}
}

// hash is the rumour's part in the hash of the table.
func (h *heldRumour) hash() uint64 {
	if h.stale {
		return 0
	}
	return xxhash.Sum64String(h.Key)
}

// forgetKeys forgets keys that are not held any more, oldest first, while the
// condition holds for the key.
func (t *rumours) forgetKeys(condition func(key string) bool) {
	held := make(map[string]bool, len(t.held))
	for _, h := range t.held {
		held[h.Key] = true
	}
	for i := 0; i < len(t.order); {
		key := t.order[i]
		if held[key] || !condition(key) {
			i++
			continue
		}
		delete(t.known, key)
		t.order = slices.Delete(t.order, i, i+1)
	}
}

func (t *rumours) remove(i int) {
	h := t.held[i]
	t.bytes -= h.size()
	t.hash -= h.hash()
	t.held = slices.Delete(t.held, i, i+1)
}

// expire removes what has outlived its TTL, and keys after their time.
func (t *rumours) expire(now time.Time) {
	if len(t.order) == 0 {
		return
	}
	for i := len(t.held) - 1; i >= 0; i-- {
		if !now.Before(t.held[i].expires) {
			t.remove(i)
		}
	}
	t.forgetKeys(func(key string) bool { return !now.Before(t.known[key]) })
}

// remaining returns the rumour as it is sent at the given time.
func (h *heldRumour) remaining(now time.Time) Rumour {
	r := h.Rumour
	r.TTL = h.expires.Sub(now)
	return r
}
