package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ServiceLimits describes the warm-up of the backend servers of a service.
type ServiceLimits struct {
	// WarmUp is how long a backend server is cold after a start during traffic.
	WarmUp Duration `json:"warm_up,omitempty"`
	// WarmUpPerSecond is the rate of requests that a cold backend server can serve.
	// 0 means that the service names no warm-up.
	WarmUpPerSecond float64 `json:"warm_up_per_second,omitempty"`
	// HealthPath is the path of the health check, whose response states the remaining
	// warm-up time. Empty means that there is none.
	HealthPath string `json:"health_path,omitempty"`
}

// NamesWarmUp reports whether the backend servers have a warm-up.
func (l ServiceLimits) NamesWarmUp() bool { return l.WarmUpPerSecond > 0 }

// WithServices returns a copy of the snapshot with the given services. Those that name
// no warm-up are left out, so that the hash of a version without any does not change.
func (s *Snapshot) WithServices(services map[string]ServiceLimits) *Snapshot {
	out := *s
	out.Services = nil
	for name, l := range services {
		if !l.NamesWarmUp() {
			continue
		}
		if out.Services == nil {
			out.Services = make(map[string]ServiceLimits)
		}
		out.Services[name] = l
	}
	out.Root = out.computeRoot()
	return &out
}

// servicesText returns the canonical form of the services that enters the root hash,
// empty if there are none.
func servicesText(services map[string]ServiceLimits) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(services)) {
		l := services[name]
		fmt.Fprintf(&text, "service %q %d %g %q\n", name, l.WarmUp, l.WarmUpPerSecond, l.HealthPath)
	}
	return text.String()
}
