package limits

import "time"

// BeginWithin returns how long a request at a stopping router may still wait until it is sent, 0 or less if
// it may not be sent any more. runTime is how long requests of its kind run, and isn't known if known is
// false.
//
// What still runs when the router aborts its requests is cut, and the caller of a request that may not be
// repeated can't learn whether it ran. Another router can serve it at once. A request that ends by its own
// deadline before that has an answer in any case.
func BeginWithin(untilAbort, untilDeadline, runTime time.Duration, known bool) time.Duration {
	switch {
	case untilDeadline <= untilAbort:
		return untilDeadline
	case !known:
		return 0
	}
	return untilAbort - runTime
}
