package entry

import "time"

const (
	// outFraction is the part of the time for which routers of a failure domain may be out, in the
	// mean over all of them. Together with outReserve, the time per router that may be used at once,
	// routers are ready for seven eighths of any period of 34 s or more.
	outFraction = 0.08
	outReserve  = 1500 * time.Millisecond
)

// budget limits the time that the routers of a failure domain are out of the load balancer, summed
// over routers, as a leaky bucket.
type budget struct {
	// used is the time that was taken and hasn't leaked out yet.
	used      time.Duration
	updatedAt time.Duration
	// routers is the number of routers that may be out by turns.
	routers int
}

// update lets the time since the last update leak out.
func (b *budget) update(now time.Duration, routers int) {
	leaked := time.Duration(outFraction * float64(now-b.updatedAt) * float64(routers))
	b.used, b.updatedAt, b.routers = max(b.used-leaked, 0), now, routers
}

// left returns the time that may be taken.
func (b *budget) left() time.Duration { return max(time.Duration(b.routers)*outReserve-b.used, 0) }

func (b *budget) take(span time.Duration) { b.used += span }

// refund returns the rest of a span that was taken.
func (b *budget) refund(rest time.Duration) { b.used = max(b.used-max(rest, 0), 0) }
