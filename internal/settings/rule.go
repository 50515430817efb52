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

// rule says which values a key may have.
type rule interface {
	// bounds describes the allowed values.
	bounds() string
	// check reports why a value is not allowed, or "".
	check(v any) string
}

// nameRule allows a name.
type nameRule struct{ optional bool }

func (r nameRule) bounds() string {
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
	return fmt.Sprintf("%q: want %s", name, r.bounds())
}

// namesRule allows a list of names.
type namesRule struct{}

func (namesRule) bounds() string { return "a list of names" }

func (namesRule) check(v any) string {
	for _, name := range v.([]string) {
		if message := (nameRule{}).check(name); message != "" {
			return message
		}
	}
	return ""
}

// boundsRule allows a list of NAME=VALUE.
type boundsRule struct{}

func (boundsRule) bounds() string { return "a list of NAME=VALUE" }

func (r boundsRule) check(v any) string {
	for _, text := range v.([]string) {
		if name, _, ok := strings.Cut(text, "="); !ok || name == "" {
			return fmt.Sprintf("%q: want %s", text, r.bounds())
		}
	}
	return ""
}

// addressRule allows an IP address with a port, after a prefix.
type addressRule struct {
	prefix   string
	optional bool
}

func (r addressRule) bounds() string {
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
		return fmt.Sprintf("%q: want %s", text, r.bounds())
	}
	host, port, err := net.SplitHostPort(rest)
	if err != nil {
		return fmt.Sprintf("%q: want %s", text, r.bounds())
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Sprintf("%q is no IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Sprintf("%q: want a port from 1 to 65535", port)
	}
	return ""
}

// addressesRule allows a list of addresses.
type addressesRule struct{}

func (addressesRule) bounds() string { return "a list of IP:PORT" }

func (addressesRule) check(v any) string {
	for _, a := range v.([]string) {
		if message := (addressRule{}).check(a); message != "" {
			return message
		}
	}
	return ""
}

// numberRule allows the integers from low to high.
type numberRule struct{ low, high int }

func (r numberRule) bounds() string { return fmt.Sprintf("%d to %d", r.low, r.high) }

func (r numberRule) check(v any) string {
	if n := v.(int); n < r.low || n > r.high {
		return fmt.Sprintf("%d: want %s", n, r.bounds())
	}
	return ""
}

// amountRule allows the numbers from 0 to high.
type amountRule struct{ high float64 }

func (r amountRule) bounds() string { return fmt.Sprintf("0 to %g", r.high) }

func (r amountRule) check(v any) string {
	if n := v.(float64); !(n >= 0 && n <= r.high) {
		return fmt.Sprintf("%g: want %s", n, r.bounds())
	}
	return ""
}

// durationRule allows the durations from low to high.
type durationRule struct{ low, high time.Duration }

func (r durationRule) bounds() string { return fmt.Sprintf("%v to %v", r.low, r.high) }

func (r durationRule) check(v any) string {
	if d := time.Duration(v.(config.Duration)); d < r.low || d > r.high {
		return fmt.Sprintf("%v: want %s", d, r.bounds())
	}
	return ""
}

// choiceRule allows one of some words.
type choiceRule []string

func (r choiceRule) bounds() string { return strings.Join(r, ", ") }

func (r choiceRule) check(v any) string {
	if word := v.(string); !slices.Contains(r, word) {
		return fmt.Sprintf("%q: want one of %s", word, r.bounds())
	}
	return ""
}

// textRule allows any text that is not empty, or any text if optional.
type textRule struct{ optional bool }

func (r textRule) bounds() string {
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

// pathRule allows a URL path or nothing.
type pathRule struct{ optional bool }

func (r pathRule) bounds() string {
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
	return fmt.Sprintf("%q: want a path that %s", path, r.bounds())
}

// switchRule allows true and false.
type switchRule struct{}

func (switchRule) bounds() string   { return "true, false" }
func (switchRule) check(any) string { return "" }
