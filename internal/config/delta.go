package config

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta turns one snapshot into a later one. It is sent between proxies.
type Delta struct {
	Version  uint64      `json:"version"`
	Root     Hash        `json:"root"`
	Rejected []Rejection `json:"rejected,omitempty"`
	// Base is the root of the snapshot to which Index applies; empty means
	// that Index is whole.
	Base Hash `json:"base,omitempty"`
	// Index holds the changed hashes by service; an empty hash removes it.
	Index map[string]Hash `json:"index,omitempty"`
	// Sets holds the changed sets in the receiver's scope.
	Sets map[string]SetDelta `json:"sets,omitempty"`
}

// SetDelta turns one service set into another.
type SetDelta struct {
	// Base is the hash of the set to which the delta applies; empty means
	// that Put is the whole set.
	Base Hash `json:"base,omitempty"`
	// Put holds new and changed slices.
	Put []*Slice `json:"put,omitempty"`
	// Removed names organisations that have no slice any more.
	Removed []string `json:"removed,omitempty"`
}

// Diff returns the delta from base to target for a receiver with the scope.
// A nil base yields a whole transfer. Target must be complete in scope.
func Diff(base, target *Snapshot, scope Scope) *Delta {
	d := &Delta{Version: target.Version, Root: target.Root, Rejected: target.Rejected}
	if base == nil {
		base = &Snapshot{}
	}
	d.Base = base.Root
	d.Index = diffIndex(base.Index, target.Index)
	for service, set := range target.Sets {
		if !scope.Covers(service) {
			continue
		}
		old := base.Sets[service]
		if old != nil && old.Hash == set.Hash {
			continue
		}
		if d.Sets == nil {
			d.Sets = make(map[string]SetDelta)
		}
		d.Sets[service] = diffSet(old, set)
	}
	return d
}

func diffIndex(base, target map[string]Hash) map[string]Hash {
	out := make(map[string]Hash)
	for service, hash := range target {
		if base[service] != hash {
			out[service] = hash
		}
	}
	for service := range base {
		if _, ok := target[service]; !ok {
			out[service] = ""
		}
	}
	return out
}

func diffSet(base, target *ServiceSet) SetDelta {
	var d SetDelta
	old := map[string]*Slice{}
	if base != nil {
		d.Base = base.Hash
		old = base.Slices
	}
	for _, org := range slices.Sorted(maps.Keys(target.Slices)) {
		slice := target.Slices[org]
		if prev, ok := old[org]; !ok || prev.Hash() != slice.Hash() {
			d.Put = append(d.Put, slice)
		}
	}
	for _, org := range slices.Sorted(maps.Keys(old)) {
		if _, ok := target.Slices[org]; !ok {
			d.Removed = append(d.Removed, org)
		}
	}
	return d
}

// Apply returns the snapshot that d makes of base, complete in scope.
// It returns ErrHashMismatch if d was made for another base or was altered,
// and ErrDangling if a route names an absent group.
func Apply(base *Snapshot, d *Delta, scope Scope) (*Snapshot, error) {
	if base == nil {
		base = &Snapshot{}
	}
	if d.Base != base.Root && d.Base != "" {
		return nil, errors.Wrapf(ErrHashMismatch, "delta for base %s, have %s", d.Base.Short(), base.Root.Short())
	}
	out := &Snapshot{Version: d.Version, Root: d.Root, Rejected: d.Rejected}
	out.Index = applyIndex(base, d)
	sets, err := applySets(base, d, out.Index, scope)
	if err != nil {
		return nil, err
	}
	out.Sets = sets
	if !out.Complete(scope) {
		return nil, errors.Wrapf(ErrHashMismatch, "version %d is incomplete", d.Version)
	}
	return out, out.Consistent()
}

func applyIndex(base *Snapshot, d *Delta) map[string]Hash {
	index := make(map[string]Hash)
	if d.Base != "" {
		maps.Copy(index, base.Index)
	}
	for service, hash := range d.Index {
		if hash == "" {
			delete(index, service)
			continue
		}
		index[service] = hash
	}
	return index
}

func applySets(base *Snapshot, d *Delta, index map[string]Hash, scope Scope) (map[string]*ServiceSet, error) {
	sets := make(map[string]*ServiceSet)
	for service := range index {
		if old := base.Sets[service]; old != nil && scope.Covers(service) {
			sets[service] = old
		}
	}
	for service, sd := range d.Sets {
		if _, ok := index[service]; !ok || !scope.Covers(service) {
			continue
		}
		set, err := applySet(sets[service], sd)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s", service)
		}
		sets[service] = set
	}
	return sets, nil
}

func applySet(base *ServiceSet, d SetDelta) (*ServiceSet, error) {
	bySlice := make(map[string]*Slice)
	if d.Base != "" {
		if base == nil || base.Hash != d.Base {
			return nil, errors.Wrap(ErrHashMismatch, "set delta for another base")
		}
		maps.Copy(bySlice, base.Slices)
	}
	for _, s := range d.Put {
		if s == nil {
			return nil, errors.Wrap(ErrHashMismatch, "empty slice")
		}
		s.seal()
		bySlice[s.Organisation] = s
	}
	for _, org := range d.Removed {
		delete(bySlice, org)
	}
	return NewServiceSet(bySlice), nil
}
