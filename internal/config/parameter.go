package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Types of template parameters.
const (
	TypeInteger  = "integer"
	TypeBoolean  = "boolean"
	TypeString   = "string"
	TypeDuration = "duration"
	TypeList     = "list"
)

var parameterNamePattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// referencePattern matches a template value that refers to a parameter.
var referencePattern = regexp.MustCompile(`^\$\{([a-z][a-z0-9_]*)\}$`)

// safeStringPattern matches the allowed values of string parameters and of list
// items: names and single path segments.
var safeStringPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Parameter declares a typed parameter of a template.
type Parameter struct {
	// Type is one of the Type constants of this package.
	Type string
	// Default is used if the organisation sets no value; nil means that a value
	// is required.
	Default any
	// Min and Max bound integer values; nil means unbounded.
	Min, Max *int64
}

func knownType(name string) bool {
	switch name {
	case TypeInteger, TypeBoolean, TypeString, TypeDuration, TypeList:
		return true
	}
	return false
}

// check returns the reason why v is not a valid value of the parameter, or "" if
// it is valid.
func (p Parameter) check(v any) string {
	switch p.Type {
	case TypeInteger:
		return p.checkInteger(v)
	case TypeBoolean:
		if _, ok := v.(bool); !ok {
			return fmt.Sprintf("want a boolean, got %s", typeName(v))
		}
	case TypeString:
		return checkString(v)
	case TypeDuration:
		return checkDuration(v)
	case TypeList:
		return checkList(v)
	}
	return ""
}

func (p Parameter) checkInteger(v any) string {
	n, ok := v.(int64)
	if !ok {
		return fmt.Sprintf("want an integer, got %s", typeName(v))
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
		return fmt.Sprintf("want a string, got %s", typeName(v))
	}
	if !safeStringPattern.MatchString(s) {
		return fmt.Sprintf("%q may hold only letters, digits, '.', '_' and '-'", s)
	}
	return ""
}

func checkDuration(v any) string {
	s, ok := v.(string)
	if !ok {
		return fmt.Sprintf("want a duration such as \"250ms\", got %s", typeName(v))
	}
	if _, err := time.ParseDuration(s); err != nil {
		return fmt.Sprintf("%q is no duration such as \"250ms\"", s)
	}
	return ""
}

func checkList(v any) string {
	items, ok := v.([]any)
	if !ok {
		return fmt.Sprintf("want a list of strings, got %s", typeName(v))
	}
	for _, item := range items {
		if msg := checkString(item); msg != "" {
			return msg
		}
	}
	return ""
}

// bindParameters returns the value of each declared parameter that has a valid
// one, from values or the parameter's default. It adds a problem for each missing
// or invalid value and for each value whose parameter is not declared.
func bindParameters(declared map[string]Parameter, values map[string]any, problems *problemList) map[string]any {
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

// substitute replaces each reference in the parsed tree with the typed value of
// its parameter, or with unresolved if the parameter has no valid value. A value
// replaces a single leaf, so it cannot change the structure of the template.
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
		if m := referencePattern.FindStringSubmatch(n); m != nil {
			if v, ok := bound[m[1]]; ok {
				return v
			}
			return unresolved{}
		}
	}
	return node
}

// collectReferences adds the names of all parameters that node refers to, at any
// depth, to used. A reference must be the whole value; a reference inside other
// text is reported as a problem.
func collectReferences(key string, node any, used map[string]bool, problems *problemList) {
	switch n := node.(type) {
	case map[string]any:
		t := newTable(key, n, problems)
		for _, name := range t.names() {
			collectReferences(t.path(name), n[name], used, problems)
		}
	case []any:
		for i, v := range n {
			collectReferences(fmt.Sprintf("%s[%d]", key, i), v, used, problems)
		}
	case string:
		if m := referencePattern.FindStringSubmatch(n); m != nil {
			used[m[1]] = true
		} else if strings.Contains(n, "${") {
			problems.add(key, "%q: a reference must be the whole value, such as \"${name}\"", n)
		}
	}
}
