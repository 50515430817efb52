package forward

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"heatherlift.example/heatherlift/internal/transfer"
)

const (
	// maxHeldBytes bounds the memory of the large responses that this process holds unless
	// another bound is set, a sixth of the 184 MB of a proxy.
	maxHeldBytes = 32 << 20
	// maxHeldResponseBytes bounds what is held of one response.
	maxHeldResponseBytes = 1 << 20
)

// responseMemory counts the bytes of responses that the process holds and bounds those of
// large ones.
type responseMemory struct {
	large *semaphore.Weighted
	// observe receives each change of the number of bytes.
	observe func(delta int64)
}

// newResponseMemory returns a count of responses whose large ones hold at most bound bytes,
// maxHeldBytes if that is 0.
func newResponseMemory(bound int64, observe func(delta int64)) *responseMemory {
	bound = max(cmp.Or(bound, maxHeldBytes), maxHeldResponseBytes)
	return &responseMemory{large: semaphore.NewWeighted(bound), observe: observe}
}

// heldMemory is memory that one response holds.
type heldMemory struct {
	memory *responseMemory
	// limited is the part that counts against the bound, total all of it.
	limited, total int64
}

// acquire adds n bytes. It waits until other responses have left enough, except for
// short responses, which must not wait behind large ones. What is held by m does not
// count in this, so the owner must be able to go on without more.
func (m *heldMemory) acquire(ctx context.Context, deadline time.Time, n int64) error {
	if m.total+n <= transfer.LargeResponseBytes {
		m.take(n)
		return nil
	}
	if !m.memory.large.TryAcquire(n) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if err := m.memory.large.Acquire(ctx, n); err != nil {
			return errors.Mark(errors.Wrapf(ErrConnectionLost, "no memory for the response in time: %v", err), errNoMemory)
		}
	}
	m.limited += n
	m.take(n)
	return nil
}

// take adds n bytes that do not count against the bound.
func (m *heldMemory) take(n int64) {
	m.total += n
	m.memory.observe(n)
}

// add adds what other holds.
func (m *heldMemory) add(other heldMemory) {
	m.limited += other.limited
	m.total += other.total
}

// release returns n bytes, at most all of them.
func (m *heldMemory) release(n int64) {
	n = min(n, m.total)
	limited := min(n, m.limited)
	m.total -= n
	m.limited -= limited
	if limited > 0 {
		m.memory.large.Release(limited)
	}
	if n > 0 {
		m.memory.observe(-n)
	}
}

// releaseAll returns all bytes.
func (m *heldMemory) releaseAll() { m.release(m.total) }
