package main

import "testing"

// A caller and a crashing request drew the same request IDs.
func TestCallersAndCrashingRequestsDrawDifferentIDs(t *testing.T) {
	for seed := range uint64(20) {
		c := &cluster{seed: seed}
		drawn := make(map[uint64]bool)
		for _, stream := range []uint64{callerStream, crashingStream} {
			for number := range uint64(50) {
				rng := c.newRand(stream, number)
				for range 20 {
					id := rng.Uint64()
					if drawn[id] {
						t.Fatalf("seed %d: %x was drawn twice", seed, id)
					}
					drawn[id] = true
				}
			}
		}
	}
}
