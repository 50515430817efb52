package source

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
)

// ErrCompacted marks a watch from a revision that the store has discarded.
var ErrCompacted = errors.New("history discarded")

// Feed reads a store that holds the operator's configuration and the list of
// instances under one revision counter. Its methods return ErrUnavailable,
// ErrMalformed or ErrCompacted.
type Feed interface {
	// List reads everything.
	List(ctx context.Context) (Listing, error)
	// Watch waits for changes of a part after the revision, at most for wait.
	Watch(ctx context.Context, part Part, after uint64, wait time.Duration) (Changes, error)
	// Newest reads the configuration alone, without the versions before it.
	Newest(ctx context.Context) (Changes, error)
	// Close ends the connections to the store.
	Close()
}

// Part is a part of what the store holds.
type Part int

// Parts.
const (
	Everything Part = iota
	InstancesOnly
	ConfigurationOnly
)

// Listing is everything that the store holds.
type Listing struct {
	// Revision is one from which a watch misses nothing.
	Revision uint64 `json:"revision"`
	// Configuration is nil if the store holds none.
	Configuration *Configuration `json:"configuration,omitempty"`
	Instances     []Entry        `json:"instances"`
}

// Changes are the changes up to a revision.
type Changes struct {
	Revision      uint64         `json:"revision"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Instances     []Entry        `json:"instances,omitempty"`
}

// Entry is the state of one instance's entry at a revision.
type Entry struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	// Instance is nil if the entry was removed or cannot be used.
	Instance *Instance `json:"instance,omitempty"`
}

// Configuration is a version as the operator published it.
type Configuration struct {
	Version uint64 `json:"version"`
	// Snapshot is nil if the version is refused.
	Snapshot *config.Snapshot `json:"snapshot,omitempty"`
	Refused  config.Problems  `json:"refused,omitempty"`
}
