package config

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// unresolved replaces a reference to a parameter without a valid value. The
// problem is reported only at the parameter, not where it is used.
type unresolved struct{}

// table reads the values of a TOML table with strict type checks. Its methods add
// a problem for each value of the wrong type, and reportUnread adds one for each
// key that was not read.
type table struct {
	key      string
	values   map[string]any
	read     map[string]bool
	problems *problemList
}

func newTable(key string, values map[string]any, problems *problemList) *table {
	return &table{key: key, values: values, read: make(map[string]bool), problems: problems}
}

// path returns the full dotted key of a value.
func (t *table) path(name string) string {
	if t.key == "" {
		return name
	}
	return t.key + "." + name
}

// lookup returns the value of a key and marks the key as read.
func (t *table) lookup(name string) (any, bool) {
	t.read[name] = true
	v, given := t.values[name]
	if _, ok := v.(unresolved); ok {
		t.problems.suppress(t.path(name))
		return nil, false
	}
	return v, given
}

// reportUnread adds a problem for each key that was not read.
func (t *table) reportUnread() {
	for _, name := range slices.Sorted(maps.Keys(t.values)) {
		if !t.read[name] {
			t.problems.add(t.path(name), "unknown key")
		}
	}
}

func (t *table) mismatch(name, want string, v any) {
	t.problems.add(t.path(name), "want %s, got %s", want, typeName(v))
}

func (t *table) str(name string) string {
	v, given := t.lookup(name)
	s, ok := v.(string)
	if given && !ok {
		t.mismatch(name, "a string", v)
	}
	return s
}

func (t *table) integer(name string) int {
	n := t.optionalInteger(name)
	if n == nil {
		return 0
	}
	return int(*n)
}

func (t *table) optionalInteger(name string) *int64 {
	v, given := t.lookup(name)
	if !given {
		return nil
	}
	n, ok := v.(int64)
	if !ok {
		t.mismatch(name, "an integer", v)
		return nil
	}
	return &n
}

func (t *table) boolean(name string) bool {
	v, given := t.lookup(name)
	b, ok := v.(bool)
	if given && !ok {
		t.mismatch(name, "a boolean", v)
	}
	return b
}

func (t *table) duration(name string) Duration {
	v, given := t.lookup(name)
	if !given {
		return 0
	}
	s, ok := v.(string)
	if !ok {
		t.mismatch(name, "a duration such as \"250ms\"", v)
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.problems.add(t.path(name), "%q is no duration such as \"250ms\"", s)
	}
	return Duration(d)
}

func (t *table) strings(name string) []string {
	v, given := t.lookup(name)
	if !given {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.mismatch(name, "a list of strings", v)
		return nil
	}
	out := make([]string, 0, len(items))
	for i, item := range items {
		if _, ok := item.(unresolved); ok {
			t.problems.suppress(t.path(name))
			continue
		}
		s, ok := item.(string)
		if !ok {
			t.mismatch(fmt.Sprintf("%s[%d]", name, i), "a string", item)
			continue
		}
		out = append(out, s)
	}
	return out
}

// table returns the subtable with the given name, or an empty table if it is
// absent.
func (t *table) table(name string) *table {
	v, given := t.lookup(name)
	values, ok := v.(map[string]any)
	if given && !ok {
		t.mismatch(name, "a table", v)
	}
	return newTable(t.path(name), values, t.problems)
}

// tables returns the array of tables with the given name.
func (t *table) tables(name string) []*table {
	v, given := t.lookup(name)
	if !given {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.mismatch(name, "a list of tables", v)
		return nil
	}
	var out []*table
	for i, item := range items {
		key := fmt.Sprintf("%s[%d]", name, i)
		values, ok := item.(map[string]any)
		if !ok {
			t.mismatch(key, "a table", item)
		}
		out = append(out, newTable(t.path(key), values, t.problems))
	}
	return out
}

// names returns the keys of the table, sorted.
func (t *table) names() []string {
	return slices.Sorted(maps.Keys(t.values))
}

// typeName returns the name of a TOML value's type, with its article.
func typeName(v any) string {
	switch v.(type) {
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}
