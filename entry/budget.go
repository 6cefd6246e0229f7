package entry

import "time"

const (
	// outFraction is the part of the time for which routers of a failure domain may be out, in the
	// mean over all of them. Together with outReserve, the time per router that may be used at once,
	// routers are ready for seven eighths of any period of 34 s or more.
	outFraction = 0.08
	outReserve  = 1500 * time.Millisecond
)

// budget limits the time that the routers of a failure domain are out of the load balancer, as a
// token bucket.
type budget struct {
	left      time.Duration
	updatedAt time.Duration
}

func newBudget(now time.Duration, routers int) budget {
	return budget{left: time.Duration(routers) * outReserve, updatedAt: now}
}

// update adds what has accrued since the last update for the given number of routers.
func (b *budget) update(now time.Duration, routers int) {
	accrued := time.Duration(outFraction * float64(now-b.updatedAt) * float64(routers))
	b.left = min(b.left+accrued, time.Duration(routers)*outReserve)
	b.updatedAt = now
}
