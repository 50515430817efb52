package main

import (
	"fmt"
	"sort"
	"strings"
)

// render fills in the placeholders of a settings template: values, sections over lists,
// tables and values that are present, and the current entry of a section.
func render(text string, values map[string]any) string {
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(text, "{{")
		out.WriteString(before)
		if !ok {
			return out.String()
		}
		name, after, _ := strings.Cut(rest, "}}")
		if !strings.HasPrefix(name, "#") {
			if v, present := values[name]; present {
				fmt.Fprint(&out, v)
			}
			text = after
			continue
		}
		name = name[1:]
		section, following, _ := strings.Cut(after, "{{/"+name+"}}")
		out.WriteString(renderSection(section, values[name], values))
		text = following
	}
}

func renderSection(section string, v any, values map[string]any) string {
	var out strings.Builder
	entry := func(key, value any, last bool) {
		scope := map[string]any{".": value, "@": key, ",": ","}
		for k, outer := range values {
			if _, ok := scope[k]; !ok {
				scope[k] = outer
			}
		}
		if last {
			scope[","] = ""
		}
		out.WriteString(render(section, scope))
	}
	switch v := v.(type) {
	case nil:
	case []any:
		for i, e := range v {
			entry(i, e, i == len(v)-1)
		}
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for i, k := range keys {
			entry(k, v[k], i == len(keys)-1)
		}
	default:
		return render(section, values)
	}
	return out.String()
}
