package dispatch

import (
	"math"
	"time"
)

// told is what another router told that a team got from its homes.
//
// A sum that decays from the moment of telling falls behind all that the team is served
// until the next one: over a second a team's rate would count for a third. So it is taken
// to stay as told for a while, as if the team were served at the same rate, and decays
// only when its teller falls silent.
type told struct {
	got Usage
	at  time.Duration
}

// toldHolds is how long what was told stays as it is: longer than the longest time
// between two tellings, so that one may be lost.
const toldHolds = time.Second

// value is what the team is taken to have got by now.
func (t *told) value(now, window time.Duration) Usage {
	passed := float64(now - t.at - toldHolds)
	if passed <= 0 {
		return t.got
	}
	return Usage{
		Window: t.got.Window * math.Exp(-passed/float64(window)),
		Recent: t.got.Recent * math.Exp(-passed/float64(rateWindow)),
	}
}
