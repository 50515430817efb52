package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"heatherlift.example/heatherlift/internal/config"
)

// prune removes from a parsed file every key that is unknown or has the wrong
// type, and returns a problem for each, so that all are reported at once.
func prune(tree map[string]any, prefix, file string) config.Problems {
	var problems config.Problems
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		key := prefix + name
		message := ""
		if section, ok := tree[name].(map[string]any); ok && isSection(key) {
			problems = append(problems, prune(section, key+".", file)...)
			continue
		}
		switch {
		case isSection(key):
			message = fmt.Sprintf("want a section, got %s", kindOf(tree[name]))
		case !isField(key):
			message = "unknown key"
		default:
			message = checkType(value(Default(), key), tree[name])
			if n, ok := tree[name].(int64); ok && isAmount(key) {
				tree[name] = float64(n) // the library decodes no integer as a fraction
			}
		}
		if message != "" {
			problems = append(problems, config.Problem{File: file, Key: key, Message: message})
			delete(tree, name)
		}
	}
	return problems
}

func isField(key string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return f.key == key })
}

// isAmount reports whether the values of a key may be integers or fractions.
func isAmount(key string) bool {
	_, ok := value(Default(), key).(float64)
	return ok
}

// isSection reports whether some key lies below the name.
func isSection(name string) bool {
	return slices.ContainsFunc(fields, func(f field) bool {
		return len(f.key) > len(name) && f.key[:len(name)+1] == name+"."
	})
}

// checkType reports why a parsed value does not have the type of want, or "".
func checkType(want, got any) string {
	switch want.(type) {
	case config.Duration:
		text, ok := got.(string)
		if _, err := time.ParseDuration(text); !ok || err != nil {
			return fmt.Sprintf("want a duration such as \"250ms\", got %s", show(got))
		}
	case []string:
		items, ok := got.([]any)
		if !ok || slices.ContainsFunc(items, func(i any) bool { return kindOf(i) != "a string" }) {
			return fmt.Sprintf("want a list of strings, got %s", show(got))
		}
	case int:
		if _, ok := got.(int64); !ok {
			return fmt.Sprintf("want an integer, got %s", show(got))
		}
	case float64:
		if k := kindOf(got); k != "an integer" && k != "a fraction" {
			return fmt.Sprintf("want a number, got %s", show(got))
		}
	default:
		if reflect.TypeOf(want) != reflect.TypeOf(got) {
			return fmt.Sprintf("want %s, got %s", kindOf(want), show(got))
		}
	}
	return ""
}

// show prints a value with its type.
func show(v any) string {
	return fmt.Sprintf("%s (%v)", kindOf(v), v)
}

func kindOf(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64, int:
		return "an integer"
	case float64:
		return "a fraction"
	case []any:
		return "a list"
	case map[string]any:
		return "a section"
	default:
		return fmt.Sprintf("%T", v)
	}
}

// decode reads a file into s and returns all keys that do not fit.
func decode(text []byte, s *Settings, file string) config.Problems {
	tree := make(map[string]any)
	var problems config.Problems
	if !config.DecodeStrict(text, &tree, file, &problems) {
		return problems
	}
	problems = prune(tree, "", file)
	rest, err := toml.Marshal(tree)
	if err != nil {
		return append(problems, config.Problem{File: file, Message: err.Error()})
	}
	config.DecodeStrict(rest, s, file, &problems)
	return problems
}
