package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"time"
)

// Parameter kinds.
const (
	KindInteger  = "integer"
	KindBoolean  = "boolean"
	KindString   = "string"
	KindDuration = "duration"
	KindList     = "list"
)

// reference matches a template value that stands for a parameter.
var reference = regexp.MustCompile(`^\$\{([a-z][a-z0-9_]*)\}$`)

// safeString matches values of string parameters: names and path segments.
var safeString = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Parameter declares a typed parameter of a template.
type Parameter struct {
	// Type is one of the Kind constants.
	Type string `toml:"type"`
	// Default is used if the organisation gives no value; nil means required.
	Default any `toml:"default"`
	// Min and Max bound integers; zero values mean no bound.
	Min int64 `toml:"min"`
	Max int64 `toml:"max"`
}

// check reports why v is no value of the parameter, or "".
func (p Parameter) check(v any) string {
	switch p.Type {
	case KindInteger:
		return p.checkInteger(v)
	case KindBoolean:
		if _, ok := v.(bool); !ok {
			return fmt.Sprintf("want a boolean, got %T", v)
		}
	case KindString:
		return checkString(v)
	case KindDuration:
		return checkDuration(v)
	case KindList:
		return checkList(v)
	default:
		return fmt.Sprintf("unknown type %q: want integer, boolean, string, duration or list", p.Type)
	}
	return ""
}

func (p Parameter) checkInteger(v any) string {
	n, ok := v.(int64)
	if !ok {
		return fmt.Sprintf("want an integer, got %T", v)
	}
	if p.Min != 0 && n < p.Min {
		return fmt.Sprintf("%d is below the minimum %d", n, p.Min)
	}
	if p.Max != 0 && n > p.Max {
		return fmt.Sprintf("%d is above the maximum %d", n, p.Max)
	}
	return ""
}

func checkString(v any) string {
	s, ok := v.(string)
	if !ok {
		return fmt.Sprintf("want a string, got %T", v)
	}
	if !safeString.MatchString(s) {
		return fmt.Sprintf("%q may hold only letters, digits, '.', '_' and '-'", s)
	}
	return ""
}

func checkDuration(v any) string {
	s, ok := v.(string)
	if !ok {
		return fmt.Sprintf("want a duration such as \"250ms\", got %T", v)
	}
	if _, err := time.ParseDuration(s); err != nil {
		return fmt.Sprintf("%q is no duration such as \"250ms\"", s)
	}
	return ""
}

func checkList(v any) string {
	items, ok := v.([]any)
	if !ok {
		return fmt.Sprintf("want a list of strings, got %T", v)
	}
	for _, item := range items {
		if msg := checkString(item); msg != "" {
			return msg
		}
	}
	return ""
}

// bind returns the value of every declared parameter, from values or defaults.
func bind(declared map[string]Parameter, values map[string]any, problems *problemList) map[string]any {
	bound := make(map[string]any, len(declared))
	for _, name := range slices.Sorted(maps.Keys(declared)) {
		p := declared[name]
		v, given := values[name]
		if !given {
			v = p.Default
		}
		if v == nil {
			problems.add("parameters."+name, "missing: the template requires a %s", p.Type)
			continue
		}
		if msg := p.check(v); msg != "" {
			problems.add("parameters."+name, "%s", msg)
			continue
		}
		bound[name] = v
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, ok := declared[name]; !ok {
			problems.add("parameters."+name, "unknown: the template declares no such parameter")
		}
	}
	return bound
}

// substitute replaces every reference in the parsed tree by its typed value.
// A value takes the place of one leaf, so it cannot change the structure.
func substitute(node any, bound map[string]any) any {
	switch n := node.(type) {
	case map[string]any:
		out := make(map[string]any, len(n))
		for k, v := range n {
			out[k] = substitute(v, bound)
		}
		return out
	case []any:
		out := make([]any, len(n))
		for i, v := range n {
			out[i] = substitute(v, bound)
		}
		return out
	case string:
		if m := reference.FindStringSubmatch(n); m != nil {
			if v, ok := bound[m[1]]; ok {
				return v
			}
		}
	}
	return node
}

// references adds the names of all parameters used below node to used.
func references(node any, used map[string]bool) {
	switch n := node.(type) {
	case map[string]any:
		for _, v := range n {
			references(v, used)
		}
	case []any:
		for _, v := range n {
			references(v, used)
		}
	case string:
		if m := reference.FindStringSubmatch(n); m != nil {
			used[m[1]] = true
		}
	}
}
