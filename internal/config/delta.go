package config

import (
	"maps"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta is the difference between two snapshots. Proxies send it to each other.
// A delta without a base is a full transfer.
type Delta struct {
	Version  uint64      `json:"version"`
	Root     Hash        `json:"root"`
	Rejected []Rejection `json:"rejected,omitempty"`
	// KeepRejected means that the rejections of the base still apply.
	KeepRejected bool `json:"keep_rejected,omitempty"`
	// Callers holds the limits of callers of the version.
	Callers CallerLimits `json:"callers,omitzero"`
	// Services holds the services of the version that name a warm-up.
	Services map[string]ServiceLimits `json:"services,omitempty"`
	// Base is the root of the snapshot to which Index applies; empty means
	// that Index is complete.
	Base Hash `json:"base,omitempty"`
	// Index maps each changed service to its new hash; an empty hash removes
	// the service.
	Index map[string]Hash `json:"index,omitempty"`
	// Sets holds the changes of the service sets in the receiver's scope, keyed
	// by service.
	Sets map[string]SetDelta `json:"sets,omitempty"`
}

// SetDelta is the difference between two versions of a service set.
type SetDelta struct {
	// Base is the hash of the set to which the delta applies; empty means
	// that Put is the complete set.
	Base Hash `json:"base,omitempty"`
	// Put holds new and changed slices.
	Put []*Slice `json:"put,omitempty"`
	// Removed lists the organisations whose slices are removed.
	Removed []string `json:"removed,omitempty"`
}

// Size returns the sum of the sizes of the slices in the delta, in bytes.
func (d *Delta) Size() int {
	size := 0
	for _, set := range d.Sets {
		for _, s := range set.Put {
			size += s.Size()
		}
	}
	return size
}

// Diff returns the delta from base to target for a receiver with the given
// scope. A nil base yields a full transfer. Target must hold the set of every
// service in scope that its index lists: a missing set is left out of the delta.
func Diff(base, target *Snapshot, scope Scope) *Delta {
	d := &Delta{Version: target.Version, Root: target.Root, Callers: target.Callers, Services: target.Services}
	if base == nil {
		base = &Snapshot{}
	}
	d.Base = base.Root
	if len(target.Rejected) > 0 && d.Base != "" && reflect.DeepEqual(base.Rejected, target.Rejected) {
		d.KeepRejected = true
	} else {
		d.Rejected = target.Rejected
	}
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

// Apply applies d to base and returns the resulting snapshot, which is complete
// in scope. Base may be nil if d is a full transfer. Apply returns
// ErrBaseMismatch if d has a different base, ErrIncompleteSnapshot if neither
// base nor d holds a set in scope (d was computed for a narrower scope or base is
// itself incomplete), ErrHashMismatch if the content does not match its hashes or
// a slice is null, and ErrDanglingReference if a route refers to an absent group.
func Apply(base *Snapshot, d *Delta, scope Scope) (*Snapshot, error) {
	out, err := applyDelta(base, d, scope)
	if err != nil {
		return nil, err
	}
	if !out.Complete(scope) {
		return nil, errors.Wrapf(ErrIncompleteSnapshot, "version %d", d.Version)
	}
	return out, out.Consistent()
}

// ApplyPartial returns the snapshot of the full transfer d, which may lack service
// sets of the scope. A missing set is taken from the held snapshots if one of
// them has it with the hash given in d's index. Unlike that of Apply, the result
// may be incomplete in scope.
func ApplyPartial(held []*Snapshot, d *Delta, scope Scope) (*Snapshot, error) {
	if d.Base != "" {
		return nil, errors.Wrap(ErrBaseMismatch, "part")
	}
	out, err := applyDelta(nil, d, scope)
	if err != nil {
		return nil, err
	}
	for _, s := range held {
		for service, set := range s.Sets {
			if out.Sets[service] == nil && scope.Covers(service) && out.Index[service] == set.Hash {
				out.Sets[service] = set
			}
		}
	}
	return out, out.Consistent()
}

func applyDelta(base *Snapshot, d *Delta, scope Scope) (*Snapshot, error) {
	if base == nil {
		base = &Snapshot{}
	}
	if d.Base != base.Root && d.Base != "" {
		return nil, errors.Wrapf(ErrBaseMismatch, "delta for base %s, have %s", d.Base.Short(), base.Root.Short())
	}
	out := &Snapshot{Version: d.Version, Root: d.Root, Callers: d.Callers, Services: d.Services, Rejected: d.Rejected}
	if d.KeepRejected {
		out.Rejected = base.Rejected
	}
	out.Index = applyIndex(base, d)
	sets, err := applySets(base, d, out.Index, scope)
	if err != nil {
		return nil, err
	}
	out.Sets = sets
	return out, nil
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
	byOrganisation := make(map[string]*Slice)
	if d.Base != "" {
		if base == nil || base.Hash != d.Base {
			return nil, errors.Wrap(ErrBaseMismatch, "set")
		}
		maps.Copy(byOrganisation, base.Slices)
	}
	for _, s := range d.Put {
		if s == nil {
			return nil, errors.Wrap(ErrHashMismatch, "slice is null")
		}
		byOrganisation[s.Organisation] = s.withHash()
	}
	for _, org := range d.Removed {
		delete(byOrganisation, org)
	}
	return NewServiceSet(byOrganisation), nil
}
