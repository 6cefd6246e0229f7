package dispatch

import (
	"math"
	"time"
)

// remoteReport is the usage of a team as reported by another router for its homes.
//
// A sum that decays from the time of the report falls behind what the team is served until
// the next one: with reports a second apart, a team's rate would count for a third. The
// reported usage is therefore held for a while, as if the team were served at a constant
// rate, and decays only after reports stop.
type remoteReport struct {
	usage      Usage
	receivedAt time.Duration
}

// reportHoldTime is how long reported usage is held. It is longer than the maximum time
// between two reports, so that one may be lost.
const reportHoldTime = time.Second

// estimate returns the estimated usage at now.
func (r *remoteReport) estimate(now, window time.Duration) Usage {
	sinceHold := float64(now - r.receivedAt - reportHoldTime)
	if sinceHold <= 0 {
		return r.usage
	}
	return Usage{
		Window: r.usage.Window * math.Exp(-sinceHold/float64(window)),
		Recent: r.usage.Recent * math.Exp(-sinceHold/float64(rateWindow)),
	}
}
