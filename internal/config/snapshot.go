package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Rejection lists the problems for which the new content of an organisation was
// rejected.
type Rejection struct {
	Organisation string   `json:"organisation"`
	Problems     Problems `json:"problems"`
}

// ServiceSet holds the slices of all organisations for one service, keyed by
// organisation. It is immutable.
type ServiceSet struct {
	Hash   Hash
	Slices map[string]*Slice
}

// NewServiceSet returns the set of the given slices, keyed by organisation. Its
// hash covers the names of the organisations and the hashes of the slices.
func NewServiceSet(byOrganisation map[string]*Slice) *ServiceSet {
	var text strings.Builder
	for _, org := range slices.Sorted(maps.Keys(byOrganisation)) {
		text.WriteString(org)
		text.WriteByte('=')
		text.WriteString(string(byOrganisation[org].Hash()))
		text.WriteByte('\n')
	}
	return &ServiceSet{Hash: HashOf([]byte(text.String())), Slices: byOrganisation}
}

// Snapshot is the compiled configuration of one version. It is immutable.
type Snapshot struct {
	// Version is the revision of the manifest in the configuration source.
	Version uint64
	// Root is the hash of Index, Callers, Services and Rejected.
	Root Hash
	// Index maps each service of the version to the hash of its set.
	Index map[string]Hash
	// Sets holds the sets of the services in scope.
	Sets map[string]*ServiceSet
	// Callers bounds what callers may send.
	Callers CallerLimits
	// Services holds the services that name a warm-up, nil if none does.
	Services map[string]ServiceLimits
	// Rejected lists the organisations whose new content was rejected, sorted
	// by name.
	Rejected []Rejection
}

// computeRoot hashes the index, the limits of callers and services, and the
// rejected organisations with the text of their problems.
func (s *Snapshot) computeRoot() Hash {
	var text strings.Builder
	for _, service := range slices.Sorted(maps.Keys(s.Index)) {
		text.WriteString(service)
		text.WriteByte('=')
		text.WriteString(string(s.Index[service]))
		text.WriteByte('\n')
	}
	text.WriteString(s.Callers.text())
	text.WriteString(servicesText(s.Services))
	for _, r := range s.Rejected {
		text.WriteString("rejected ")
		text.WriteString(r.Organisation)
		text.WriteByte('\n')
		text.WriteString(r.Problems.Error())
		text.WriteByte('\n')
	}
	return HashOf([]byte(text.String()))
}

// NewSnapshot returns a snapshot of all service sets of a version without limits
// of callers.
func NewSnapshot(version uint64, sets map[string]*ServiceSet, rejected []Rejection) *Snapshot {
	return newSnapshot(version, sets, CallerLimits{}, rejected)
}

func newSnapshot(version uint64, sets map[string]*ServiceSet, callers CallerLimits, rejected []Rejection) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Index:    make(map[string]Hash, len(sets)),
		Sets:     sets,
		Callers:  callers,
		Rejected: rejected,
	}
	for service, set := range sets {
		s.Index[service] = set.Hash
	}
	s.Root = s.computeRoot()
	return s
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

// Covers reports whether the service is in scope.
func (s Scope) Covers(service string) bool {
	return s == nil || s[service]
}

// Restrict returns a copy of the snapshot without the sets outside scope.
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

// Complete reports whether the snapshot holds the set of each indexed service in
// scope.
func (s *Snapshot) Complete(scope Scope) bool {
	for service := range s.Index {
		if scope.Covers(service) && s.Sets[service] == nil {
			return false
		}
	}
	return true
}

// Consistent checks the invariants of the snapshot: Root is the hash of Index,
// Callers, Services and Rejected, Index holds the hash of each set, each slice is stored under its own
// service and organisation, and no route has a dangling reference. It returns
// ErrHashMismatch or ErrDanglingReference.
func (s *Snapshot) Consistent() error {
	if s.computeRoot() != s.Root {
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
