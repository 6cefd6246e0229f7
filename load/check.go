package load

import (
	"fmt"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// maxRequestsPerSecond bounds the rate of one team. The load generator is meant for routers on
// loopback only.
const maxRequestsPerSecond = 5000

func (p *Plan) checkTeam(doc *jsonc.Document, i int, t Team) {
	at := fmt.Sprintf("/teams/%d", i)
	if t.Name == "" {
		doc.Add(at+"/name", "must be given")
	}
	if (t.Model == "") == (t.Service == "") {
		doc.Add(at, "must have either a model or a service")
	}
	if !(t.Rate > 0 && t.Rate <= maxRequestsPerSecond) {
		doc.Add(at+"/rate", "must be more than 0 and at most %d", maxRequestsPerSecond)
	}
	if t.Router < 0 || t.Router > len(p.Routers) {
		doc.Add(at+"/router", "must be from 0 to %d", len(p.Routers))
	}
}
