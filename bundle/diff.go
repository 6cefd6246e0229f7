package bundle

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff describes the changes from a to b, one per line.
func Diff(a, b *Bundle) []string {
	var out []string
	if b.Version <= a.Version {
		out = append(out, fmt.Sprintf("version: %d is not after %d: routers will refuse it", b.Version, a.Version))
	} else {
		out = append(out, fmt.Sprintf("version: %d to %d", a.Version, b.Version))
	}
	out = append(out, diffItems("team", jsonByName(a.Teams, Team.key), jsonByName(b.Teams, Team.key))...)
	out = append(out, diffItems("pool", jsonByName(a.Pools, Pool.key), jsonByName(b.Pools, Pool.key))...)
	out = append(out, diffItems("upstream", jsonByName(a.Upstreams, Upstream.key), jsonByName(b.Upstreams, Upstream.key))...)
	if !slices.Equal(a.Evacuated, b.Evacuated) {
		out = append(out, fmt.Sprintf("evacuated: [%s] to [%s]", strings.Join(a.Evacuated, " "), strings.Join(b.Evacuated, " ")))
	}
	if a.Limits != b.Limits {
		out = append(out, "limits: changed")
	}
	return append(out, reusedTeamIDs(a, b)...)
}

func (t Team) key() string     { return t.Name }
func (p Pool) key() string     { return p.Name }
func (u Upstream) key() string { return u.Name }

// jsonByName returns the JSON of each item by name, so that items of all types can
// be compared in the same way.
func jsonByName[T any](items []T, name func(T) string) map[string]string {
	out := map[string]string{}
	for _, item := range items {
		data, err := json.Marshal(item)
		if err == nil {
			out[name(item)] = string(data)
		}
	}
	return out
}

func diffItems(kind string, a, b map[string]string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a)) {
		switch now, ok := b[name]; {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s: removed", kind, name))
		case now != a[name]:
			out = append(out, fmt.Sprintf("%s %s: %s to %s", kind, name, a[name], now))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b)) {
		if _, ok := a[name]; !ok {
			out = append(out, fmt.Sprintf("%s %s: added", kind, name))
		}
	}
	return out
}

// reusedTeamIDs returns a warning for each team of b whose ID belongs to a team of
// another name in a.
func reusedTeamIDs(a, b *Bundle) []string {
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
