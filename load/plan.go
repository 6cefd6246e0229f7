package load

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Error is the class of this package's errors.
var Error = errs.Class("load")

// Plan is a load, read from JSON with comments.
type Plan struct {
	// Routers are the callers' base URLs, Admins the operators', with one token.
	Routers    []string       `json:"routers"`
	Admins     []string       `json:"admins"`
	AdminToken string         `json:"adminToken"`
	Services   []string       `json:"services"`
	Duration   jsonc.Duration `json:"duration"`
	Seed       uint64         `json:"seed"`
	Teams      []Team         `json:"teams"`
}

// Team is one team's part.
type Team struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share is what the bundle owes the team.
	Share float64 `json:"share"`
	// Rate is how many requests it sends a second.
	Rate float64 `json:"rate"`
	// Model makes it ask a model for Tokens tokens, StreamFraction of them as streams.
	Model          string  `json:"model"`
	Tokens         int     `json:"tokens"`
	StreamFraction float64 `json:"streamPart"`
	// Service and Path make it send non-repeatable requests to a plain service.
	Service string `json:"service"`
	Path    string `json:"path"`
	// Router is the only router it uses, counted from 1; 0 for all.
	Router int `json:"router"`
}

// ReadPlan reads and checks a plan file.
func ReadPlan(file string) (*Plan, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Plan{}
	doc := jsonc.Decode(file, raw, p)
	if len(p.Routers) == 0 {
		doc.Add("/routers", "must name at least one router")
	}
	if time.Duration(p.Duration) <= 0 {
		doc.Add("/duration", "must be more than 0")
	}
	for i, t := range p.Teams {
		p.checkTeam(doc, i, t)
	}
	return p, doc.Findings().Err()
}
