package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

// field describes one settings key.
type field struct {
	key  string
	rule rule
	doc  string
}

// fields lists every key in the order of the settings reference.
var fields = []field{
	{"id", nameRule{}, "name of the instance, unique in the fleet"},
	{"availability_zone", nameRule{}, "availability zone of the instance"},
	{"region", nameRule{optional: true}, "region that holds the availability zone; empty in a fleet of one region"},
	{"service", nameRule{}, "service of the backend server beside the proxy"},
	{"calls", namesRule{}, "other services that requests handed to this proxy reach"},
	{"listen.callers", addressRule{}, "address for callers"},
	{"listen.forward", addressRule{}, "address for requests of other proxies"},
	{"listen.peers", addressRule{}, "address for messages of other proxies"},
	{"listen.admin", addressRule{}, "address for operators"},
	{"listen.metrics", addressRule{optional: true}, "second address for operators, such as one that is the same on all machines"},
	{"backend_server.address", addressRule{}, "address of the backend server"},
	{"backend_server.slots", intRule{1, 100_000}, "requests that the backend server runs at once"},
	{"backend_server.connections", intRule{1, 100_000}, "connections to the backend server"},
	{"backend_server.queue_length", intRule{1, 100_000}, "requests that wait for a slot"},
	{"backend_server.health_path", pathRule{}, "answers 200 while the backend server takes work"},
	{"backend_server.load_path", pathRule{optional: true}, "answers with slots and whether the backend server drains"},
	{"backend_server.health_interval", durationRule{0, time.Minute}, "time between two health checks; 0 for none"},
	{"backend_server.shed_not_run", boolRule{}, "an answer 503 with Retry-After means that the backend server did not run the request"},
	{"platform.kind", enumRule{PlatformServices, PlatformStore}, "what the platform offers: heatherlift's own interfaces, or one store for configuration and instances"},
	{"platform.store", addressRule{optional: true}, "the store, if platform.kind is store"},
	{"platform.bounds", assignmentsRule{}, "bounds that the platform sets, each as NAME=VALUE"},
	{"platform.link_mbps", floatRule{1_000_000}, "bandwidth of the machine's link in Mbit/s, 0 if it is not known; proxies with slow links leave it to others to read the store for their zone"},
	{"platform.report_interval", durationRule{0, time.Minute}, "time between two reports of a backend server to the store, whose entry expires after three without one; 0s if it is not known, 1.5s is assumed then"},
	{"platform.seeds", addressesRule{}, "peer addresses of some proxies, from which a proxy starts while the store is out of reach"},
	{"platform.source", addressRule{prefix: "http://", optional: true}, "configuration service of the platform"},
	{"platform.instances", addressRule{prefix: "http://", optional: true}, "list of instances of the platform"},
	{"platform.instances_interval", durationRule{100 * time.Millisecond, time.Hour}, "mean time between two readings of the list; readers read it more often, and a long list is read less often"},
	{"platform.fleet_size", intRule{1, 1_000_000}, "number of instances that the fleet may have; a starting proxy paces its calls by it"},
	{"distribution.mode", enumRule{ModePeers, ModeNaive}, "how versions spread; naive reads everything from the source"},
	{"distribution.watch_wait", durationRule{time.Second, time.Minute}, "time that a watch of the source waits"},
	{"distribution.gossip_interval", durationRule{10 * time.Millisecond, time.Minute}, "time between two rounds of gossip"},
	{"requests.max_attempts", intRule{1, 10}, "attempts of one request, the first included"},
	{"requests.placement", enumRule{PlacementScore, PlacementExpectedFinish, PlacementAuto}, "how the instance for a request is chosen: by what this proxy has seen of it, by the least expected finish that other proxies report as well, or by the latter while the backend servers of a service state how slow they are; the same in the whole fleet"},
	{"peers.plaintext", boolRule{}, "proxies do not authenticate each other"},
	{"peers.certificate", textRule{optional: true}, "certificate and its chain, a file in PEM"},
	{"peers.key", textRule{optional: true}, "private key of the certificate, a file in PEM"},
	{"peers.authorities", textRule{optional: true}, "certificates that sign those of proxies, a file in PEM"},
	{"peers.name", textRule{}, "DNS name in the certificate of every proxy"},
	{"peers.reload_interval", durationRule{100 * time.Millisecond, time.Hour}, "time between two readings of the files"},
	{"machine.memory_mb", intRule{32, 1 << 20}, "memory that the process may use, in MiB; the bound of what clients hold and the soft limit of the heap follow from it"},
	{"machine.descriptors", intRule{0, 1 << 20}, "descriptors that the process may open, 0 for its limit at the start; parts are kept for the backend server, other proxies, the store and operators"},
	{"clients.memory_mb", intRule{0, 1 << 20}, "memory that clients may make the process hold, in MiB, 0 for 30 % of machine.memory_mb"},
	{"clients.share", shareRule{}, "part of that memory and of the connections that the clients at one address may hold"},
	{"clients.connections", intRule{0, 1 << 20}, "connections of callers, 0 for the part of the descriptors that is not kept"},
	{"clients.requests", intRule{0, 1 << 20}, "requests that the clients at one address may have in progress while requests are refused for overload, 0 for clients.share of the slots and the queue of the backend server"},
	{"clients.slow_after", durationRule{100 * time.Millisecond, time.Minute}, "time that a client may take for a message, or be blocked, before its connection may be closed if there is no room for others"},
	{"clients.read_timeout", durationRule{time.Second, time.Hour}, "time after which a client that has not accepted a piece of a response, of up to 32 KB, is disconnected"},
	{"clients.receive_buffer_kb", intRule{0, 1 << 16}, "bytes of a caller's connection that the kernel holds unread, in KiB, at most 8 of them before it is accepted; 0 for the kernel's own bound"},
	{"shutdown.notice", durationRule{0, time.Minute}, "time in which other proxies and callers learn of a shutdown"},
	{"shutdown.limit", durationRule{time.Second, time.Hour}, "time after which requests in flight are cut"},
	{"log.level", enumRule{"debug", "info", "warn", "error"}, "lowest level that is logged"},
	{"log.format", enumRule{"logfmt", "json"}, "format of the log"},
}

// Changed returns the keys whose values differ between a and b, in the order of
// the reference.
func Changed(a, b Settings) []string {
	var keys []string
	for _, f := range fields {
		if !reflect.DeepEqual(value(a, f.key), value(b, f.key)) {
			keys = append(keys, f.key)
		}
	}
	return keys
}

// validate returns a problem for each value that is not allowed.
func validate(s Settings, file string) config.Problems {
	var problems config.Problems
	for _, f := range fields {
		if message := f.rule.check(value(s, f.key)); message != "" {
			problems = append(problems, config.Problem{File: file, Key: f.key, Message: message})
		}
	}
	problems = append(problems, validatePlatform(s.Platform, file)...)
	problems = append(problems, validateClients(s, file)...)
	return append(problems, validatePeers(s.Peers, file)...)
}

// minDescriptors is the least number of descriptors with which a proxy can work.
const minDescriptors = 64

// validateClients checks that the bounds of clients fit the machine.
func validateClients(s Settings, file string) config.Problems {
	var problems config.Problems
	if most := s.Machine.MemoryMB / 3; s.Clients.MemoryMB > most {
		problems = append(problems, config.Problem{File: file, Key: "clients.memory_mb", Message: fmt.Sprintf("%d: want at most a third of machine.memory_mb, %d", s.Clients.MemoryMB, most)})
	}
	d := s.Machine.Descriptors
	if d != 0 && d < minDescriptors {
		problems = append(problems, config.Problem{File: file, Key: "machine.descriptors", Message: fmt.Sprintf("%d: want 0 or at least %d", d, minDescriptors)})
	}
	if d != 0 && s.Clients.Connections > d/2 {
		problems = append(problems, config.Problem{File: file, Key: "clients.connections", Message: fmt.Sprintf("%d: want at most half of machine.descriptors, %d", s.Clients.Connections, d/2)})
	}
	return problems
}

// validatePlatform checks that the endpoints that platform.kind requires are
// set.
func validatePlatform(p Platform, file string) config.Problems {
	required := []struct{ key, value string }{{"platform.source", p.Source}, {"platform.instances", p.Instances}}
	if p.Kind == PlatformStore {
		required = []struct{ key, value string }{{"platform.store", p.Store}}
	}
	var problems config.Problems
	for _, n := range required {
		if n.value == "" {
			problems = append(problems, config.Problem{File: file, Key: n.key, Message: "missing: required if platform.kind is " + p.Kind})
		}
	}
	return problems
}

// validatePeers checks that either plaintext or all certificate files are set.
func validatePeers(p Peers, file string) config.Problems {
	var problems config.Problems
	files := []struct{ key, value string }{
		{"peers.certificate", p.Certificate},
		{"peers.key", p.Key},
		{"peers.authorities", p.Authorities},
	}
	for _, f := range files {
		switch {
		case p.Plaintext && f.value != "":
			problems = append(problems, config.Problem{File: file, Key: f.key, Message: "must be empty if peers.plaintext is true"})
		case !p.Plaintext && f.value == "":
			problems = append(problems, config.Problem{File: file, Key: f.key, Message: "missing: set the path of a PEM file, or set peers.plaintext to true"})
		}
	}
	return problems
}

// value returns the value of a key. It panics if there is no such key.
func value(s Settings, key string) any {
	v := reflect.ValueOf(s)
	for part := range strings.SplitSeq(key, ".") {
		v = fieldByTag(v, part)
	}
	return v.Interface()
}

func fieldByTag(v reflect.Value, tag string) reflect.Value {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == tag {
			return v.Field(i)
		}
	}
	panic("no key " + tag)
}

// Reference returns the settings reference as a Markdown table.
func Reference() string {
	var text strings.Builder
	text.WriteString("| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
	defaults := Default()
	for _, f := range fields {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", f.key, defaultText(defaults, f), f.rule.allowed(), f.doc)
	}
	return text.String()
}

// defaultText formats the default of a field: "required" if the field has no
// valid default, or "" if the default is the zero value. Durations and booleans
// are printed even if they are zero.
func defaultText(defaults Settings, f field) string {
	v := value(defaults, f.key)
	if d, ok := v.(config.Duration); ok {
		return "`" + time.Duration(d).String() + "`"
	}
	if f.rule.check(v) != "" {
		return "required"
	}
	if reflect.ValueOf(v).IsZero() && reflect.TypeOf(v).Kind() != reflect.Bool {
		return ""
	}
	return fmt.Sprintf("`%v`", v)
}
