package dist

import (
	"maps"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// assembleDelay is how long, after pulls from other zones are allowed, a proxy
// looks for a peer that holds its whole scope before it assembles a version
// from several peers.
const assembleDelay = time.Second

// assemblePart merges a peer's part of a version into the partial snapshot. The
// result becomes the version held as soon as it covers the services fronted and
// called; a full replica may then still lack other services. It reports whether
// the part added anything.
func (d *Dist) assemblePart(from string, delta *config.Delta) bool {
	var held []*config.Snapshot
	for _, s := range []*config.Snapshot{d.partial, d.current} {
		if s != nil {
			held = append(held, s)
		}
	}
	if d.partial != nil && d.partial.Version > delta.Version {
		return false
	}
	part, err := config.ApplyPartial(held, delta, d.scope())
	if err != nil {
		d.reportViolation(from, err.Error())
		return false
	}
	gained := d.partial == nil || part.Version > d.partial.Version || len(part.Sets) > len(d.partial.Sets)
	if !gained {
		return false
	}
	d.partial = part
	if part.Complete(d.servingScope()) {
		d.accept(from, part)
	}
	if part.Complete(d.scope()) {
		d.partial = nil
	}
	return true
}

// servingScope returns the services fronted and called, regardless of the role.
func (d *Dist) servingScope() config.Scope {
	return config.NewScope(d.cfg.Services...)
}

// missingServices returns the services in scope that the partial snapshot lacks,
// nil if there is no partial snapshot or its version is no longer needed.
func (d *Dist) missingServices() []string {
	if d.partial == nil || d.partial.Version < d.neededVersion() {
		return nil
	}
	var services []string
	for _, service := range slices.Sorted(maps.Keys(d.partial.Index)) {
		if d.scope().Covers(service) && d.partial.Sets[service] == nil {
			services = append(services, service)
		}
	}
	return services
}

// partialProvider picks a random live peer that holds the needed version of at
// least one of the missing services, or of any services if there is no partial
// snapshot yet. It picks none until assembleDelay after crossZoneAt.
func (d *Dist) partialProvider(now time.Time) (member.Record, bool) {
	if now.Before(d.pull.crossZoneAt.Add(assembleDelay)) {
		return member.Record{}, false
	}
	need := d.neededVersion()
	missing := d.missingServices()
	if len(missing) > 0 {
		need = d.partial.Version
	}
	var candidates []string
	for _, r := range d.fleet.records {
		if d.isLivePeer(r.ID) && d.peers[r.ID].head.Version >= need && coversAny(r.Scope(), missing) {
			candidates = append(candidates, r.ID)
		}
	}
	return d.pickRandom(candidates)
}

// coversAny reports whether the scope covers at least one of the services. It
// is true if the list is empty.
func coversAny(scope config.Scope, services []string) bool {
	return len(services) == 0 || slices.ContainsFunc(services, scope.Covers)
}
