package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Rejection tells why a version holds back one organisation.
type Rejection struct {
	Organisation string   `json:"organisation"`
	Problems     Problems `json:"problems"`
}

// ServiceSet holds the slices of all organisations for one service.
// It is immutable.
type ServiceSet struct {
	Hash   Hash
	Slices map[string]*Slice
}

// NewServiceSet returns the set of the given slices, keyed by organisation.
func NewServiceSet(bySlice map[string]*Slice) *ServiceSet {
	var text strings.Builder
	for _, org := range slices.Sorted(maps.Keys(bySlice)) {
		text.WriteString(org)
		text.WriteByte('=')
		text.WriteString(string(bySlice[org].Hash()))
		text.WriteByte('\n')
	}
	return &ServiceSet{Hash: HashOf([]byte(text.String())), Slices: bySlice}
}

// Snapshot is one accepted version. It is immutable.
type Snapshot struct {
	// Version is the revision of the manifest in the configuration source.
	Version uint64
	// Root is the hash over Index and Rejected.
	Root Hash
	// Index maps every service of the version to the hash of its set.
	Index map[string]Hash
	// Sets holds the sets of the services in scope.
	Sets map[string]*ServiceSet
	// Rejected lists the organisations held back, sorted by name.
	Rejected []Rejection
}

// rootOf hashes an index and the names of the rejected organisations.
func rootOf(index map[string]Hash, rejected []Rejection) Hash {
	var text strings.Builder
	for _, service := range slices.Sorted(maps.Keys(index)) {
		text.WriteString(service)
		text.WriteByte('=')
		text.WriteString(string(index[service]))
		text.WriteByte('\n')
	}
	for _, r := range rejected {
		text.WriteString("rejected ")
		text.WriteString(r.Organisation)
		text.WriteByte('\n')
		text.WriteString(r.Problems.Error())
		text.WriteByte('\n')
	}
	return HashOf([]byte(text.String()))
}

// NewSnapshot returns the snapshot of the given complete sets.
func NewSnapshot(version uint64, sets map[string]*ServiceSet, rejected []Rejection) *Snapshot {
	index := make(map[string]Hash, len(sets))
	for service, set := range sets {
		index[service] = set.Hash
	}
	return &Snapshot{
		Version:  version,
		Root:     rootOf(index, rejected),
		Index:    index,
		Sets:     sets,
		Rejected: rejected,
	}
}

// Scope is the set of services whose slices a proxy holds.
// A nil Scope covers every service.
type Scope map[string]bool

// NewScope returns the scope of the named services.
func NewScope(services ...string) Scope {
	scope := make(Scope, len(services))
	for _, s := range services {
		scope[s] = true
	}
	return scope
}

// Covers reports whether the scope holds the service.
func (s Scope) Covers(service string) bool {
	return s == nil || s[service]
}

// Restrict returns the snapshot without the sets outside scope.
func (s *Snapshot) Restrict(scope Scope) *Snapshot {
	out := *s
	out.Sets = make(map[string]*ServiceSet)
	for service, set := range s.Sets {
		if scope.Covers(service) {
			out.Sets[service] = set
		}
	}
	return &out
}

// Complete reports whether the snapshot holds every set of its index in scope.
func (s *Snapshot) Complete(scope Scope) bool {
	for service := range s.Index {
		if scope.Covers(service) && s.Sets[service] == nil {
			return false
		}
	}
	return true
}

// Consistent checks every invariant of the snapshot: the hashes agree from the
// slices up to the root, and no route names an absent group.
func (s *Snapshot) Consistent() error {
	if rootOf(s.Index, s.Rejected) != s.Root {
		return errors.Wrapf(ErrHashMismatch, "root of version %d", s.Version)
	}
	for service, set := range s.Sets {
		if s.Index[service] != set.Hash {
			return errors.Wrapf(ErrHashMismatch, "set of service %s", service)
		}
		for org, slice := range set.Slices {
			if slice.Service != service || slice.Organisation != org {
				return errors.Wrapf(ErrHashMismatch, "slice of %s in service %s", org, service)
			}
			if err := slice.consistent(); err != nil {
				return errors.Wrapf(err, "organisation %s, service %s", org, service)
			}
		}
	}
	return nil
}
