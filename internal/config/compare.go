package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Compare returns one line for each difference between two sets of
// organisations, sorted by organisation name. Values are formatted with %+v, so
// the field names of Limits, Group, Route and WeightedGroup are part of the
// output.
func Compare(before, after map[string]*Organisation) []string {
	names := make(map[string]bool)
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, b := before[name], after[name]
		switch {
		case a == nil:
			lines = append(lines, name+": added")
		case b == nil:
			lines = append(lines, name+": removed")
		default:
			lines = append(lines, compareOrganisation(name, a, b)...)
		}
	}
	return lines
}

func compareOrganisation(name string, a, b *Organisation) []string {
	var lines []string
	if a.Limits != b.Limits {
		lines = append(lines, fmt.Sprintf("%s: limits %+v -> %+v", name, a.Limits, b.Limits))
	}
	lines = append(lines, compareMaps(name+": group", a.Groups, b.Groups)...)
	return append(lines, compareMaps(name+": route", routesByName(a), routesByName(b))...)
}

func routesByName(o *Organisation) map[string]Route {
	m := make(map[string]Route, len(o.Routes))
	for _, r := range o.Routes {
		m[r.Name] = r
	}
	return m
}

func compareMaps[V any](prefix string, a, b map[string]V) []string {
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(a)) {
		other, ok := b[key]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s %s removed", prefix, key))
		case !reflect.DeepEqual(a[key], other):
			lines = append(lines, fmt.Sprintf("%s %s: %+v -> %+v", prefix, key, a[key], other))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(b)) {
		if _, ok := a[key]; !ok {
			lines = append(lines, fmt.Sprintf("%s %s added", prefix, key))
		}
	}
	return lines
}
