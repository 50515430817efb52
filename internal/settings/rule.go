package settings

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

// rule validates the values of a key.
type rule interface {
	// allowed describes the allowed values for the settings reference.
	allowed() string
	// check returns why a value is not allowed, or "" if it is.
	check(v any) string
}

// nameRule allows a valid name, or an empty string if optional.
type nameRule struct{ optional bool }

func (r nameRule) allowed() string {
	text := "lower-case letters, digits and '-', at most " + strconv.Itoa(config.MaxNameBytes)
	if r.optional {
		return text + ", or empty"
	}
	return text
}

func (r nameRule) check(v any) string {
	name := v.(string)
	if config.ValidName(name) || (r.optional && name == "") {
		return ""
	}
	return fmt.Sprintf("%q: want %s", name, r.allowed())
}

// namesRule allows a list of names.
type namesRule struct{}

func (namesRule) allowed() string { return "a list of names" }

func (namesRule) check(v any) string {
	for _, name := range v.([]string) {
		if message := (nameRule{}).check(name); message != "" {
			return message
		}
	}
	return ""
}

// assignmentsRule allows a list of NAME=VALUE assignments.
type assignmentsRule struct{}

func (assignmentsRule) allowed() string { return "a list of NAME=VALUE" }

func (r assignmentsRule) check(v any) string {
	for _, text := range v.([]string) {
		if name, _, ok := strings.Cut(text, "="); !ok || name == "" {
			return fmt.Sprintf("%q: want %s", text, r.allowed())
		}
	}
	return ""
}

// addressRule allows IP:PORT after the prefix, or an empty string if optional.
type addressRule struct {
	prefix   string
	optional bool
}

func (r addressRule) allowed() string {
	if r.optional {
		return r.prefix + "IP:PORT, or empty"
	}
	return r.prefix + "IP:PORT"
}

func (r addressRule) check(v any) string {
	text := v.(string)
	if text == "" && r.optional {
		return ""
	}
	rest, ok := strings.CutPrefix(text, r.prefix)
	if !ok {
		return fmt.Sprintf("%q: want %s", text, r.allowed())
	}
	host, port, err := net.SplitHostPort(rest)
	if err != nil {
		return fmt.Sprintf("%q: want %s", text, r.allowed())
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Sprintf("%q: want a port from 1 to 65535", port)
	}
	return ""
}

// addressesRule allows a list of IP:PORT addresses.
type addressesRule struct{}

func (addressesRule) allowed() string { return "a list of IP:PORT" }

func (addressesRule) check(v any) string {
	for _, a := range v.([]string) {
		if message := (addressRule{}).check(a); message != "" {
			return message
		}
	}
	return ""
}

// intRule allows the integers from low to high.
type intRule struct{ low, high int }

func (r intRule) allowed() string { return fmt.Sprintf("%d to %d", r.low, r.high) }

func (r intRule) check(v any) string {
	if n := v.(int); n < r.low || n > r.high {
		return fmt.Sprintf("%d: want %s", n, r.allowed())
	}
	return ""
}

// floatRule allows the numbers from 0 to high; NaN is rejected.
type floatRule struct{ high float64 }

func (r floatRule) allowed() string { return fmt.Sprintf("0 to %g", r.high) }

func (r floatRule) check(v any) string {
	if n := v.(float64); !(n >= 0 && n <= r.high) {
		return fmt.Sprintf("%g: want %s", n, r.allowed())
	}
	return ""
}

// shareRule allows the numbers above 0 up to 1; NaN is rejected.
type shareRule struct{}

func (shareRule) allowed() string { return "above 0, at most 1" }

func (r shareRule) check(v any) string {
	if n := v.(float64); !(n > 0 && n <= 1) {
		return fmt.Sprintf("%g: want %s", n, r.allowed())
	}
	return ""
}

// durationRule allows the durations from low to high.
type durationRule struct{ low, high time.Duration }

func (r durationRule) allowed() string { return fmt.Sprintf("%v to %v", r.low, r.high) }

func (r durationRule) check(v any) string {
	if d := time.Duration(v.(config.Duration)); d < r.low || d > r.high {
		return fmt.Sprintf("%v: want %s", d, r.allowed())
	}
	return ""
}

// enumRule allows one of the listed strings.
type enumRule []string

func (r enumRule) allowed() string { return strings.Join(r, ", ") }

func (r enumRule) check(v any) string {
	if word := v.(string); !slices.Contains(r, word) {
		return fmt.Sprintf("%q: want one of %s", word, r.allowed())
	}
	return ""
}

// textRule allows any non-empty string, or any string if optional.
type textRule struct{ optional bool }

func (r textRule) allowed() string {
	if r.optional {
		return "any text"
	}
	return "not empty"
}

func (r textRule) check(v any) string {
	if v.(string) == "" && !r.optional {
		return "missing"
	}
	return ""
}

// pathRule allows a URL path, or an empty string if optional.
type pathRule struct{ optional bool }

func (r pathRule) allowed() string {
	if r.optional {
		return "begins with '/', or empty"
	}
	return "begins with '/'"
}

func (r pathRule) check(v any) string {
	path := v.(string)
	if strings.HasPrefix(path, "/") || (r.optional && path == "") {
		return ""
	}
	return fmt.Sprintf("%q: want a path that %s", path, r.allowed())
}

// boolRule allows true and false.
type boolRule struct{}

func (boolRule) allowed() string  { return "true, false" }
func (boolRule) check(any) string { return "" }
