package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
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

// parameterName matches the name of a parameter.
var parameterName = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// reference matches a template value that stands for a parameter.
var reference = regexp.MustCompile(`^\$\{([a-z][a-z0-9_]*)\}$`)

// safeString matches values of string parameters: names and path segments.
var safeString = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Parameter declares a typed parameter of a template.
type Parameter struct {
	// Type is one of the Kind constants.
	Type string
	// Default is used if the organisation gives no value; nil means required.
	Default any
	// Min and Max bound integers; nil means no bound.
	Min, Max *int64
}

func knownKind(kind string) bool {
	switch kind {
	case KindInteger, KindBoolean, KindString, KindDuration, KindList:
		return true
	}
	return false
}

// check reports why v is no value of the parameter, or "".
func (p Parameter) check(v any) string {
	switch p.Type {
	case KindInteger:
		return p.checkInteger(v)
	case KindBoolean:
		if _, ok := v.(bool); !ok {
			return fmt.Sprintf("want a boolean, got %s", kindOf(v))
		}
	case KindString:
		return checkString(v)
	case KindDuration:
		return checkDuration(v)
	case KindList:
		return checkList(v)
	}
	return ""
}

func (p Parameter) checkInteger(v any) string {
	n, ok := v.(int64)
	if !ok {
		return fmt.Sprintf("want an integer, got %s", kindOf(v))
	}
	if p.Min != nil && n < *p.Min {
		return fmt.Sprintf("%d is below the minimum %d", n, *p.Min)
	}
	if p.Max != nil && n > *p.Max {
		return fmt.Sprintf("%d is above the maximum %d", n, *p.Max)
	}
	return ""
}

func checkString(v any) string {
	s, ok := v.(string)
	if !ok {
		return fmt.Sprintf("want a string, got %s", kindOf(v))
	}
	if !safeString.MatchString(s) {
		return fmt.Sprintf("%q may hold only letters, digits, '.', '_' and '-'", s)
	}
	return ""
}

func checkDuration(v any) string {
	s, ok := v.(string)
	if !ok {
		return fmt.Sprintf("want a duration such as \"250ms\", got %s", kindOf(v))
	}
	if _, err := time.ParseDuration(s); err != nil {
		return fmt.Sprintf("%q is no duration such as \"250ms\"", s)
	}
	return ""
}

func checkList(v any) string {
	items, ok := v.([]any)
	if !ok {
		return fmt.Sprintf("want a list of strings, got %s", kindOf(v))
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
			problems.add("parameters."+name, "missing: the template requires type %s", p.Type)
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
			return unbound{}
		}
	}
	return node
}

// references adds the names of all parameters used below node to used. A
// reference is a whole value: one inside other text is a problem.
func references(key string, node any, used map[string]bool, problems *problemList) {
	switch n := node.(type) {
	case map[string]any:
		t := newTable(key, n, problems)
		for _, name := range t.names() {
			references(t.path(name), n[name], used, problems)
		}
	case []any:
		for i, v := range n {
			references(fmt.Sprintf("%s[%d]", key, i), v, used, problems)
		}
	case string:
		if m := reference.FindStringSubmatch(n); m != nil {
			used[m[1]] = true
		} else if strings.Contains(n, "${") {
			problems.add(key, "%q: a reference must be the whole value, such as \"${name}\"", n)
		}
	}
}
