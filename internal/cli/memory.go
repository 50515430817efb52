package cli

import (
	"os"
	"runtime/debug"

	"heatherlift.example/heatherlift/internal/settings"
)

const (
	// memoryLimitPercent is the soft limit of the Go runtime as a part of the machine's
	// memory. It keeps the heap and the stacks of a proxy on the smallest machine below its
	// budget of 128 MB. The rest is for the program itself and for what the kernel holds.
	memoryLimitPercent = 52
	// gcPercent lets the heap, which is small, grow to five times its live
	// size between collections, as long as the soft limit allows.
	gcPercent = 400
)

// configureGC sets the memory limit and the GC percentage, except where
// GOMEMLIMIT or GOGC sets them.
func configureGC(m settings.Machine) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(m.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
