package fairness

import "time"

// view is the last report of one team by another router, and the line that
// readers draw through it until the next one.
type view struct {
	tally Usage
	at    time.Time
	// assumed counts slots granted or returned for this team's waiting requests
	// since the report; without it one report of a waiting request would
	// attract a slot from every router.
	assumed int
}

// service extrapolates the reported service to now.
//
// Each running request gains a slot second a second, so the line is exact until
// one starts or ends. A silent router's gain is assumed for limit only: beyond that the router may
// be gone, and charging its teams further would starve them.
func (v *view) service(now time.Time, limit time.Duration) float64 {
	elapsed := min(max(now.Sub(v.at), 0), limit)
	return v.tally.Service + float64(v.tally.Running)*elapsed.Seconds()
}

// waiting is the reported number of waiting requests less those provided for.
func (v *view) waiting() int { return max(v.tally.Waiting-v.assumed, 0) }
