package routing

import (
	"maps"
	"slices"

	"heatherlift.example/heatherlift/internal/config"
)

// Table holds the routes of one snapshot by organisation. Its results never
// change, so that a request completes under the version under which it started.
// Routes are compiled at the first lookup of their organisation; a Table is not
// safe for concurrent use.
type Table struct {
	Version       uint64
	sets          map[string]*config.ServiceSet
	organisations map[string]*organisationRoutes
}

// NewTable returns the table of a snapshot. It shares unchanged organisations
// with the previous table, which may be nil.
func NewTable(s *config.Snapshot, previous *Table) *Table {
	if previous == nil {
		previous = &Table{}
	}
	t := &Table{Version: s.Version, sets: s.Sets}
	changed := changedOrganisations(previous.sets, s.Sets)
	if len(changed) == 0 && previous.organisations != nil {
		t.organisations = previous.organisations
		return t
	}
	t.organisations = maps.Clone(previous.organisations)
	if t.organisations == nil {
		t.organisations = make(map[string]*organisationRoutes, len(changed))
	}
	for name := range changed {
		delete(t.organisations, name)
	}
	for _, service := range slices.Sorted(maps.Keys(s.Sets)) {
		t.addSlices(s.Sets[service].Slices, changed)
	}
	return t
}

// addSlices adds the slices of one service that belong to changed
// organisations. It iterates over the smaller of the two sets.
func (t *Table) addSlices(byOrganisation map[string]*config.Slice, changed map[string]struct{}) {
	if len(byOrganisation) < len(changed) {
		for name, s := range byOrganisation {
			if _, ok := changed[name]; ok {
				t.addSlice(name, s)
			}
		}
		return
	}
	for name := range changed {
		if s, ok := byOrganisation[name]; ok {
			t.addSlice(name, s)
		}
	}
}

func (t *Table) addSlice(name string, s *config.Slice) {
	org, ok := t.organisations[name]
	if !ok {
		org = &organisationRoutes{}
		t.organisations[name] = org
	}
	org.slices = append(org.slices, s)
}

// changedOrganisations returns the organisations that differ in any service.
func changedOrganisations(old, current map[string]*config.ServiceSet) map[string]struct{} {
	changed := make(map[string]struct{})
	for service, set := range current {
		compareSets(old[service], set, changed)
	}
	for service, set := range old {
		if current[service] == nil {
			compareSets(set, nil, changed)
		}
	}
	return changed
}

// compareSets adds to changed the organisations that differ between two versions
// of a service's set.
func compareSets(old, current *config.ServiceSet, changed map[string]struct{}) {
	if old == current || old != nil && current != nil && old.Hash == current.Hash {
		return
	}
	before, after := slicesOf(old), slicesOf(current)
	for name, s := range after {
		if b := before[name]; b != s && (b == nil || b.Hash() != s.Hash()) {
			changed[name] = struct{}{}
		}
	}
	for name := range before {
		if after[name] == nil {
			changed[name] = struct{}{}
		}
	}
}

func slicesOf(s *config.ServiceSet) map[string]*config.Slice {
	if s == nil {
		return nil
	}
	return s.Slices
}

// Lookup returns the route for a request. Known reports whether the
// organisation has any route in this table.
func (t *Table) Lookup(org, method, path string) (m *RouteMatch, known, ok bool) {
	o, known := t.organisations[org]
	if !known {
		return nil, false, false
	}
	m = o.lookup(method, path)
	return m, true, m != nil
}
