// Package config implements the dynamic configuration of the mesh: templates,
// the parameters of organisations, the manifest that lists both, and the
// snapshot that a proxy enforces.
//
// Validation and compilation are pure functions of their input and give the same
// result on every machine, so that a version rejected by one proxy is rejected
// by all.
package config

import (
	"time"
)

// Limits of configured values.
const (
	MaxBlobBytes         = 1 << 20 // one value of the configuration source
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
	// Methods lists at least one HTTP method, in upper case. Routes with
	// Prefix set ignore it.
	Methods []string `json:"methods" toml:"methods"`
	// Path is a pattern of literal segments, {name} for any one segment, and a
	// final {name...} for all remaining segments.
	Path string `json:"path" toml:"path"`
	// Group names a group of the same organisation.
	Group string `json:"group" toml:"group"`
	// Deadline is the maximum time from the arrival of a request to the end of
	// its response.
	Deadline Duration `json:"deadline" toml:"deadline"`
	// Repeatable marks requests as idempotent: they may be executed more than
	// once.
	Repeatable bool `json:"repeatable,omitempty" toml:"repeatable"`
	// Upload marks requests with large bodies. They are never repeatable.
	Upload bool `json:"upload,omitempty" toml:"upload"`
	// Download marks requests with large responses. They are repeatable.
	Download bool `json:"download,omitempty" toml:"download"`
	// Prefix makes Path a literal prefix that begins and ends with a slash.
	// It is matched against the path as sent, for any method. The longest
	// matching prefix wins, and patterns take precedence over prefixes.
	Prefix bool `json:"prefix,omitempty" toml:"-"`
	// Parts splits the requests among groups by weight. If it is empty, all
	// requests go to Group; otherwise Group is the group of the first part.
	Parts []WeightedGroup `json:"parts,omitempty" toml:"-"`
	// Target is the latency target: a response that takes longer is worth less
	// to the caller. 0 means that the target is unknown.
	Target Duration `json:"target,omitempty" toml:"-"`
	// Priority is the priority class of the route's requests; 0 is the most
	// urgent.
	Priority int `json:"priority,omitempty" toml:"-"`
	// MaxAttempts is the maximum number of backend servers to which a request
	// is sent; 0 means the maximum in the proxy's settings.
	MaxAttempts int `json:"max_attempts,omitempty" toml:"-"`
}

// WeightedGroup is one weighted destination of a route.
type WeightedGroup struct {
	// Group names a group of the same organisation.
	Group string `json:"group"`
	// Weight divided by the sum of the weights of all parts is the group's share
	// of the route's requests.
	Weight int `json:"weight"`
}

// Group is a set of backend servers that an organisation may reach.
type Group struct {
	// Service is the name of the service whose instances form the group.
	Service string `json:"service" toml:"service"`
	// AvailabilityZones restricts the group to instances in these zones; empty
	// means all zones.
	AvailabilityZones []string `json:"availability_zones,omitempty" toml:"availability_zones"`
}

// Limits bounds the load of one organisation.
type Limits struct {
	// RequestsPerSecond is the maximum sustained rate, summed over all proxies
	// of the fleet.
	RequestsPerSecond int `json:"requests_per_second" toml:"requests_per_second"`
	// Concurrency is the maximum number of requests in flight at one proxy.
	Concurrency int `json:"concurrency" toml:"concurrency"`
}

// Organisation is the configuration of one customer. If it comes from a
// template, the parameters have been substituted.
type Organisation struct {
	Name   string           `json:"name" toml:"-"`
	Routes []Route          `json:"routes" toml:"routes"`
	Groups map[string]Group `json:"groups" toml:"groups"`
	Limits Limits           `json:"limits" toml:"limits"`
}

// Duration is a time.Duration that is encoded as text such as "250ms".
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
