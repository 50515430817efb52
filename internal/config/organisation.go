// Package config holds the dynamic configuration of the mesh: templates,
// parameters of organisations, the manifest that ties them together, and the
// snapshot which a proxy enforces.
//
// Everything here is a pure function of its input. Validation and compilation
// give the same verdict on every machine, so that a version rejected by one
// proxy is rejected by all.
package config

import (
	"time"
)

// Bounds of configured values.
const (
	MaxBlobBytes         = 1 << 20
	MinDeadline          = time.Millisecond
	MaxDeadline          = 10 * time.Minute
	MaxRequestsPerSecond = 1_000_000
	MaxConcurrency       = 100_000
	MaxRoutes            = 1_000
	MaxNameBytes         = 63
)

// Route sends requests that match a method and a path pattern to a group.
type Route struct {
	// Name is unique within the organisation.
	Name string `json:"name" toml:"name"`
	// Methods lists the HTTP methods, upper case, at least one.
	Methods []string `json:"methods" toml:"methods"`
	// Path is a pattern: literal segments, {name} for one segment, and a
	// final {name...} for any remaining ones.
	Path string `json:"path" toml:"path"`
	// Group names a group of the same organisation.
	Group string `json:"group" toml:"group"`
	// Deadline bounds a request from arrival to the end of its answer.
	Deadline Duration `json:"deadline" toml:"deadline"`
	// Repeatable marks idempotent requests, which may run more than once.
	Repeatable bool `json:"repeatable,omitempty" toml:"repeatable"`
	// Prefix makes Path a literal prefix that begins and ends with a slash.
	// It matches the path as it was sent, under any method; the longest
	// matching prefix wins, and patterns precede prefixes.
	Prefix bool `json:"prefix,omitempty" toml:"-"`
	// Parts divides the requests among groups by weight; empty means that all
	// go to Group, which otherwise is the group of the first part.
	Parts []Part `json:"parts,omitempty" toml:"-"`
	// Target is the time within which an answer has its full value, 0 if it
	// is not known.
	Target Duration `json:"target,omitempty" toml:"-"`
	// Priority is the class of the route's requests, 0 the most urgent.
	Priority int `json:"priority,omitempty" toml:"-"`
	// MaxAttempts bounds the backend servers to which a request is sent, 0
	// for the bound of the proxy's settings.
	MaxAttempts int `json:"max_attempts,omitempty" toml:"-"`
}

// Part is one destination of a route that divides its requests.
type Part struct {
	// Group names a group of the same organisation.
	Group string `json:"group"`
	// Weight is the part's share of the requests, relative to the others.
	Weight int `json:"weight"`
}

// Group is a set of backend servers that an organisation may reach.
type Group struct {
	// Service names the service whose instances form the group.
	Service string `json:"service" toml:"service"`
	// AvailabilityZones restricts the group to these zones; empty means all.
	AvailabilityZones []string `json:"availability_zones,omitempty" toml:"availability_zones"`
}

// Limits bound the load of one organisation over the whole fleet.
type Limits struct {
	// RequestsPerSecond is the sustained rate over all proxies.
	RequestsPerSecond int `json:"requests_per_second" toml:"requests_per_second"`
	// Concurrency bounds the requests in flight at one proxy.
	Concurrency int `json:"concurrency" toml:"concurrency"`
}

// Organisation is the configuration of one customer after substitution.
type Organisation struct {
	Name   string           `json:"name" toml:"-"`
	Routes []Route          `json:"routes" toml:"routes"`
	Groups map[string]Group `json:"groups" toml:"groups"`
	Limits Limits           `json:"limits" toml:"limits"`
}

// Duration is a time.Duration that is written as text such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
