package source

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
)

// ErrCompacted reports a watch from a revision whose history the store has
// discarded.
var ErrCompacted = errors.New("required history has been compacted")

// ErrInconclusive marks the failure of a call that tells nothing of the store: it has
// answered other than with a refusal, or the connection of the call failed, which may be all
// that failed. It comes with ErrUnavailable or ErrMalformed.
var ErrInconclusive = errors.New("failure of the call alone")

// Feed reads a store that holds the operator's configuration and the list of
// instances under a single revision counter. Its methods return ErrUnavailable,
// ErrMalformed or ErrCompacted, and may mark the first two with ErrInconclusive.
type Feed interface {
	// List reads the complete content of the store, or its instances alone if the part is
	// InstancesOnly.
	List(ctx context.Context, part Part) (Listing, error)
	// Survey reads the list of instances alone. The answer is cheap and may be
	// seconds old.
	Survey(ctx context.Context) (Listing, error)
	// Watch waits at most wait for changes to part after the given revision.
	Watch(ctx context.Context, part Part, after uint64, wait time.Duration) (Changes, error)
	// Newest reads the current state of the operator's part only: the
	// configuration, without its earlier versions, and all evacuations.
	Newest(ctx context.Context) (Changes, error)
	// Close closes the connections to the store.
	Close()
}

// Part selects the content of the store that a call covers.
type Part int

// Values of Part.
const (
	Everything Part = iota
	InstancesOnly
	// ConfigurationOnly is the operator's part: configuration and evacuations.
	ConfigurationOnly
	// OperatorOnly is the operator's part in a question to another proxy.
	OperatorOnly
)

// Listing is the complete content of the store, or of its part InstancesOnly.
type Listing struct {
	Part Part `json:"part,omitempty"`
	// Era and Revision are a position from which a watch misses no change.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Configuration is nil if the store holds none.
	Configuration *Configuration `json:"configuration,omitempty"`
	Instances     []Entry        `json:"instances"`
	// Evacuations holds all evacuations, and MalformedKeys the keys of evacuations that
	// name no availability zone.
	Evacuations   []Evacuation `json:"evacuations,omitempty"`
	MalformedKeys []string     `json:"malformed_keys,omitempty"`
}

// Changes holds the changes up to a position. They are incomplete if their era is
// newer than that of the position from which they were requested.
type Changes struct {
	Era           uint64         `json:"era,omitempty"`
	Revision      uint64         `json:"revision"`
	Configuration *Configuration `json:"configuration,omitempty"`
	// Versions is the number of versions that the changes hold, of which Configuration is
	// the last.
	Versions  int     `json:"versions,omitempty"`
	Instances []Entry `json:"instances,omitempty"`
	// Part is the part of the store that the changes cover.
	Part Part `json:"part,omitempty"`
	// Evacuations holds changes or, with Complete, all evacuations.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	Complete    bool         `json:"complete,omitempty"`
	// MalformedKeys holds the keys of evacuations that name no availability zone.
	MalformedKeys []string `json:"malformed_keys,omitempty"`
}

// Entry is the state of an instance's entry at a revision.
type Entry struct {
	ID string `json:"id"`
	// Era is the era of the answer that held the entry. The follower sets it.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Created is the revision at which the present process first wrote the entry, as far
	// as it is known, 0 if the store does not name it.
	Created uint64 `json:"created,omitempty"`
	// Instance is nil if the entry was removed or is invalid.
	Instance *Instance `json:"instance,omitempty"`
}

// listed returns the instance with the revision of its entry.
func (e Entry) listed() Instance {
	i := *e.Instance
	i.Revision = e.Revision
	return i
}

// Configuration is a version of the configuration as published by the operator.
type Configuration struct {
	Version uint64 `json:"version"`
	// Snapshot is nil if the version is refused.
	Snapshot *config.Snapshot `json:"snapshot,omitempty"`
	// Refused lists the problems for which the whole version is refused.
	Refused config.Problems `json:"refused,omitempty"`
	// Warnings lists the values of an accepted version that are unknown and were
	// read by their strictest meaning.
	Warnings config.Problems `json:"warnings,omitempty"`
}
