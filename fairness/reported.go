package fairness

import "time"

// reportedUsage is the last report of one team by another router, from which its
// service is extrapolated until the next report.
type reportedUsage struct {
	usage      Usage
	reportedAt time.Time
	// assumedGrants counts slots granted or returned for this team's waiting
	// requests since the report. Without it, one report of a waiting request
	// would attract a slot from every router.
	assumedGrants int
}

// serviceAt extrapolates the reported service to now.
//
// Each running request adds one slot second per second, so the result is exact
// until a request starts or ends. Extrapolation stops after limit: a router that
// has been silent for longer may have failed, and charging its teams further
// would starve them.
func (r *reportedUsage) serviceAt(now time.Time, limit time.Duration) float64 {
	elapsed := min(max(now.Sub(r.reportedAt), 0), limit)
	return r.usage.Service + float64(r.usage.Running)*elapsed.Seconds()
}

// waiting is the reported number of waiting requests minus those that a slot was
// already granted or returned for.
func (r *reportedUsage) waiting() int { return max(r.usage.Waiting-r.assumedGrants, 0) }
