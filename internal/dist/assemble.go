package dist

import (
	"maps"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// assembleAfter is how long, beyond the wait for other zones, a proxy looks for
// a peer that holds its whole scope before it takes parts from several.
const assembleAfter = time.Second

// assemble adds what a peer sent of a version to what is held of it. The parts
// become the version held once they cover the services fronted and called,
// although a holder may then lack others. It reports whether anything was
// gained.
func (d *Dist) assemble(from string, delta *config.Delta) bool {
	var held []*config.Snapshot
	for _, s := range []*config.Snapshot{d.partial, d.current} {
		if s != nil {
			held = append(held, s)
		}
	}
	if d.partial != nil && d.partial.Version > delta.Version {
		return false
	}
	part, err := config.ApplyPart(held, delta, d.scope())
	if err != nil {
		d.violation(from, err.Error())
		return false
	}
	gained := d.partial == nil || part.Version > d.partial.Version || len(part.Sets) > len(d.partial.Sets)
	if !gained {
		return false
	}
	d.partial = part
	if part.Complete(d.ownScope()) {
		d.accept(from, part)
	}
	if part.Complete(d.scope()) {
		d.partial = nil
	}
	return true
}

// ownScope returns the services fronted and called, whatever the role.
func (d *Dist) ownScope() config.Scope {
	return config.NewScope(d.cfg.Services...)
}

// missing returns the services that a version under assembly lacks, nil if
// there is none under assembly.
func (d *Dist) missing() []string {
	if d.partial == nil || d.partial.Version < d.need() {
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

// partProvider picks a peer that holds some of what is missing.
func (d *Dist) partProvider(now time.Time) (member.Record, bool) {
	if now.Before(d.pull.farAt.Add(assembleAfter)) {
		return member.Record{}, false
	}
	need := d.need()
	missing := d.missing()
	if len(missing) > 0 {
		need = d.partial.Version
	}
	var candidates []string
	for _, r := range d.fleet.records {
		if d.alive(r.ID) && d.peers[r.ID].head.Version >= need && helps(r.Scope(), missing) {
			candidates = append(candidates, r.ID)
		}
	}
	return d.draw(candidates)
}

// helps reports whether the scope covers one of the services, or any if none
// is named.
func helps(scope config.Scope, services []string) bool {
	return len(services) == 0 || slices.ContainsFunc(services, scope.Covers)
}
