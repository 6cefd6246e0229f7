package load

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Error is the class of this package's errors.
var Error = errs.Class("load")

// Plan describes a load. It is read from JSON with comments.
type Plan struct {
	// Routers are the base URLs of the routers' listeners for callers, Admins those of
	// their operators' API, which all accept AdminToken.
	Routers    []string `json:"routers"`
	Admins     []string `json:"admins"`
	AdminToken string   `json:"adminToken"`
	// Services are the base URLs of the stand-in services, whose run counts are checked.
	Services []string       `json:"services"`
	Duration jsonc.Duration `json:"duration"`
	Seed     uint64         `json:"seed"`
	Teams    []Team         `json:"teams"`
}

// Team describes the requests of one team.
type Team struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share is the team's share according to the bundle.
	Share float64 `json:"share"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Model selects completion requests for Tokens tokens each. StreamFraction, from 0
	// to 1, is the fraction of requests that ask for a stream.
	Model          string  `json:"model"`
	Tokens         int     `json:"tokens"`
	StreamFraction float64 `json:"streamPart"`
	// Service and Path select non-repeatable requests to a plain service.
	Service string `json:"service"`
	Path    string `json:"path"`
	// Router is the index, counted from 1, of the router that every request is sent to
	// first; the others are tried only on a retry. 0 rotates over all routers.
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
