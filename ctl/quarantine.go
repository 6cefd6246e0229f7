package ctl

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// statusQuarantined is the status of a key in quarantine in a router's dump.
const statusQuarantined = "quarantined"

// QuarantinedKey is what requests have in common that aren't sent any more because upstreams
// crashed under them: the content of a team's requests, or a part of prompts.
type QuarantinedKey struct {
	Team    string `json:"team,omitempty"`
	Content string `json:"content,omitempty"`
	Part    string `json:"part,omitempty"`
	Status  string `json:"status"`
	Crashes int    `json:"crashes"`
}

// Quarantined is a key in quarantine in a fleet. Routers is the number of routers at which it is,
// Crashes the highest number of crashes that one of them counts.
type Quarantined struct {
	QuarantinedKey
	Routers int `json:"routers"`
}

// quarantinedKeys returns the keys in quarantine at any of the routers: parts first, since they
// concern more requests.
func quarantinedKeys(routers []RouterStatus) []Quarantined {
	byKey := map[[3]string]*Quarantined{}
	for _, r := range routers {
		for _, k := range r.Quarantine {
			id := [3]string{k.Team, k.Content, k.Part}
			if byKey[id] == nil {
				byKey[id] = &Quarantined{QuarantinedKey: k}
			}
			byKey[id].Routers++
			byKey[id].Crashes = max(byKey[id].Crashes, k.Crashes)
		}
	}
	var all []Quarantined
	for _, k := range byKey {
		all = append(all, *k)
	}
	slices.SortFunc(all, func(a, b Quarantined) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Content, b.Content))
	})
	return all
}

// maxQuarantinedRows limits the keys that a table lists.
const maxQuarantinedRows = 20

func printQuarantined(out io.Writer, all []Quarantined) {
	if len(all) == 0 {
		return
	}
	fmt.Fprintln(out, "\nin quarantine\tteam\tcrashes\trouters")
	for _, k := range all[:min(len(all), maxQuarantinedRows)] {
		name := "content " + k.Content
		if k.Part != "" {
			name = "part " + k.Part
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\n", name, cmp.Or(k.Team, "any"), k.Crashes, k.Routers)
	}
	if more := len(all) - maxQuarantinedRows; more > 0 {
		fmt.Fprintf(out, "and %d more\n", more)
	}
}
