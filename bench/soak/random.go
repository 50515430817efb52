package main

import "math/rand/v2"

// Streams of random numbers of a run. Each source of numbers has a stream of its own,
// since two of the same stream would draw the same request IDs.
const (
	planStream      uint64 = 11
	includedStream  uint64 = 12
	callerStream    uint64 = 1 << 40
	crashingStream  uint64 = 2 << 40
	statementStream uint64 = 3 << 40
	pressureStream  uint64 = 4 << 40
	downloadStream  uint64 = 5 << 40
	speedStream     uint64 = 6 << 40
	longStream      uint64 = 7 << 40
	idleStream      uint64 = 8 << 40
)

// newRand returns the generator of one source, which has a number below 1<<40 among
// those of the stream.
func (c *cluster) newRand(stream, number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.seed, stream+number))
}
