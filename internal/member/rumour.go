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
}

// rumours is a bounded table, oldest first.
type rumours struct {
	held    []*heldRumour
	bytes   int
	known   map[string]time.Time
	hash    uint64
	dropped uint64
}

func newRumours() rumours {
	return rumours{known: make(map[string]time.Time)}
}

// add stores a rumour that is not known yet and reports whether it was new.
func (t *rumours) add(now time.Time, r Rumour) (*heldRumour, bool) {
	if _, ok := t.known[r.Key]; ok {
		return nil, false
	}
	h := &heldRumour{Rumour: r, expires: now.Add(r.TTL)}
	t.held = append(t.held, h)
	t.bytes += r.size()
	t.hash += xxhash.Sum64String(r.Key)
	t.known[r.Key] = h.expires.Add(rumourMemory)
	for len(t.held) > MaxRumours || t.bytes > MaxRumoursBytes {
		t.remove(0)
		t.dropped++
	}
	return h, true
}

func (t *rumours) remove(i int) {
	h := t.held[i]
	t.bytes -= h.size()
	t.hash -= xxhash.Sum64String(h.Key)
	t.held = slices.Delete(t.held, i, i+1)
}

// expire removes what has outlived its TTL. A dropped rumour's key stays known
// for as long as its TTL, which is bounded as the rate of rumours is.
func (t *rumours) expire(now time.Time) {
	for i := len(t.held) - 1; i >= 0; i-- {
		if !now.Before(t.held[i].expires) {
			t.remove(i)
		}
	}
	for key, until := range t.known {
		if !now.Before(until) {
			delete(t.known, key)
		}
	}
}

// remaining returns the rumour as it is sent at the given time.
func (h *heldRumour) remaining(now time.Time) Rumour {
	r := h.Rumour
	r.TTL = h.expires.Sub(now)
	return r
}
