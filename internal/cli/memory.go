package cli

import (
	"os"
	"runtime/debug"
)

const (
	// memoryLimitBytes is the soft limit of the Go runtime. It keeps the heap
	// and the stacks of a proxy below its budget of 128 MB.
	memoryLimitBytes = 96 << 20
	// gcPercent lets the heap, which is small, grow to five times its live
	// size between collections, as long as memoryLimitBytes allows.
	gcPercent = 400
)

// configureGC sets the memory limit and the GC percentage, except where
// GOMEMLIMIT or GOGC sets them.
func configureGC() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
