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

// removeInvalid removes every key that is unknown or has the wrong type from a
// parsed file and returns a problem for each, so that all are reported at once:
// the decoder stops at the first value of a wrong type. It converts integer values
// of float keys to float64.
func removeInvalid(tree map[string]any, prefix, file string) config.Problems {
	var problems config.Problems
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		key := prefix + name
		message := ""
		if table, ok := tree[name].(map[string]any); ok && isTable(key) {
			problems = append(problems, removeInvalid(table, key+".", file)...)
			continue
		}
		switch {
		case isTable(key):
			message = fmt.Sprintf("want a table, got %s", typeName(tree[name]))
		case !isField(key):
			message = "unknown key"
		default:
			message = checkType(value(Default(), key), tree[name])
			if n, ok := tree[name].(int64); ok && isFloat(key) {
				tree[name] = float64(n) // go-toml does not decode an integer into a float64
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

// isFloat reports whether a key has a float value, for which an integer is
// accepted too.
func isFloat(key string) bool {
	_, ok := value(Default(), key).(float64)
	return ok
}

// isTable reports whether name is a table, that is, the prefix of a key.
func isTable(name string) bool {
	return slices.ContainsFunc(fields, func(f field) bool {
		return len(f.key) > len(name) && f.key[:len(name)+1] == name+"."
	})
}

// checkType returns why a parsed value does not have the type of want, or "" if
// it does.
func checkType(want, got any) string {
	switch want.(type) {
	case config.Duration:
		text, ok := got.(string)
		if _, err := time.ParseDuration(text); !ok || err != nil {
			return fmt.Sprintf("want a duration such as \"250ms\", got %s", describe(got))
		}
	case []string:
		items, ok := got.([]any)
		if !ok || slices.ContainsFunc(items, func(i any) bool { return typeName(i) != "a string" }) {
			return fmt.Sprintf("want a list of strings, got %s", describe(got))
		}
	case int:
		if _, ok := got.(int64); !ok {
			return fmt.Sprintf("want an integer, got %s", describe(got))
		}
	case float64:
		if k := typeName(got); k != "an integer" && k != "a float" {
			return fmt.Sprintf("want a number, got %s", describe(got))
		}
	default:
		if reflect.TypeOf(want) != reflect.TypeOf(got) {
			return fmt.Sprintf("want %s, got %s", typeName(want), describe(got))
		}
	}
	return ""
}

// describe formats a value with its type.
func describe(v any) string {
	return fmt.Sprintf("%s (%v)", typeName(v), v)
}

func typeName(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64, int:
		return "an integer"
	case float64:
		return "a float"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return fmt.Sprintf("%T", v)
	}
}

// decode parses TOML text into s. It returns a problem for each key that is
// unknown or has the wrong type, or the syntax error of the text.
func decode(text []byte, s *Settings, file string) config.Problems {
	tree := make(map[string]any)
	var problems config.Problems
	if !config.DecodeStrict(text, &tree, file, &problems) {
		return problems
	}
	problems = removeInvalid(tree, "", file)
	pruned, err := toml.Marshal(tree)
	if err != nil {
		return append(problems, config.Problem{File: file, Message: err.Error()})
	}
	config.DecodeStrict(pruned, s, file, &problems)
	return problems
}
