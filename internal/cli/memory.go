package cli

import (
	"os"
	"runtime/debug"
)

const (
	// memoryLimit keeps the heap and the stacks of a proxy below the 128 MB
	// that it may use.
	memoryLimit = 96 << 20
	// collectAt lets the small heap of a proxy grow to five times its live
	// part before it is collected, as long as memoryLimit allows.
	collectAt = 400
)

// limitMemory sets the garbage collector, unless the environment does.
func limitMemory() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectAt)
	}
}
