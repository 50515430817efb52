package host

import (
	"sync"
	"testing"
)

// Channels are pooled: an effect that arrives after its request has released the
// channel must not be delivered to the request that uses the channel next.
func TestLateEffectIsNotDeliveredToAnotherRequest(t *testing.T) {
	const rounds = 2000
	var w waiters[uint64]
	var wg sync.WaitGroup
	for worker := range uint64(4) {
		wg.Go(func() {
			for n := range uint64(rounds) {
				id := (n*4 + worker) * waiterShards // all in one shard
				c, release := w.register(id)
				var late sync.WaitGroup
				late.Go(func() {
					w.deliver(id, id)
					w.deliver(id, id)
				})
				if got := <-c; got != id {
					t.Errorf("request %d got the effect for %d", id, got)
				}
				release()
				late.Wait()
			}
		})
	}
	wg.Wait()
}
