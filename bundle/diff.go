package bundle

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff tells in one line each what changes from a to b.
func Diff(a, b *Bundle) []string {
	var out []string
	if b.Version <= a.Version {
		out = append(out, fmt.Sprintf("version: %d is not after %d: routers will refuse it", b.Version, a.Version))
	} else {
		out = append(out, fmt.Sprintf("version: %d to %d", a.Version, b.Version))
	}
	out = append(out, diffItems("team", named(a.Teams, Team.key), named(b.Teams, Team.key))...)
	out = append(out, diffItems("pool", named(a.Pools, Pool.key), named(b.Pools, Pool.key))...)
	out = append(out, diffItems("upstream", named(a.Upstreams, Upstream.key), named(b.Upstreams, Upstream.key))...)
	if !slices.Equal(a.Evacuated, b.Evacuated) {
		out = append(out, fmt.Sprintf("evacuated: [%s] to [%s]", strings.Join(a.Evacuated, " "), strings.Join(b.Evacuated, " ")))
	}
	if a.Limits != b.Limits {
		out = append(out, "limits: changed")
	}
	return append(out, reused(a, b)...)
}

func (t Team) key() string     { return t.Name }
func (p Pool) key() string     { return p.Name }
func (u Upstream) key() string { return u.Name }

// named renders items by name, so that any two kinds compare alike.
func named[T any](items []T, name func(T) string) map[string]string {
	out := map[string]string{}
	for _, item := range items {
		data, err := json.Marshal(item)
		if err == nil {
			out[name(item)] = string(data)
		}
	}
	return out
}

func diffItems(what string, a, b map[string]string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a)) {
		switch now, ok := b[name]; {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s: removed", what, name))
		case now != a[name]:
			out = append(out, fmt.Sprintf("%s %s: %s to %s", what, name, a[name], now))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b)) {
		if _, ok := a[name]; !ok {
			out = append(out, fmt.Sprintf("%s %s: added", what, name))
		}
	}
	return out
}

// reused warns of ids that named something else before.
func reused(a, b *Bundle) []string {
	var out []string
	teams := map[int]string{}
	for _, t := range a.Teams {
		teams[t.ID] = t.Name
	}
	for _, t := range b.Teams {
		if was, ok := teams[t.ID]; ok && was != t.Name {
			out = append(out, fmt.Sprintf("team %s: has the id %d of %s, whose service it would inherit", t.Name, t.ID, was))
		}
	}
	return out
}
