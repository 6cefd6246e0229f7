package soak

import (
	"cmp"
	"slices"
	"time"
)

// recoveryWindow is the window over which the served ratio is taken: about 50 requests with
// the default number of callers.
const recoveryWindow = 500 * time.Millisecond

// RecoveryTime returns the time after from until the fleet had recovered: nearly all
// eligible requests were served in each later window. It is the whole time until end if the
// fleet never recovered.
func RecoveryTime(h *History, from, end time.Duration) time.Duration {
	c := &checker{h: h}
	var after []Request
	for _, req := range h.Requests {
		if req.Sent >= from && c.eligible(req) {
			after = append(after, req)
		}
	}
	slices.SortFunc(after, func(a, b Request) int { return cmp.Compare(a.Sent, b.Sent) })
	for at := end - recoveryWindow; at >= from; at -= recoveryWindow / 5 {
		if servedRatio(after, at, at+recoveryWindow) < minServedRatio {
			return at + recoveryWindow - from
		}
	}
	return 0
}

// servedRatio returns the ratio of the requests sent in an interval that were served, 0 if
// none was sent.
func servedRatio(all []Request, from, to time.Duration) float64 {
	eligible, served := 0, 0
	for _, req := range all {
		if req.Sent < from || req.Sent >= to {
			continue
		}
		eligible++
		if req.served() {
			served++
		}
	}
	if eligible == 0 {
		return 0
	}
	return float64(served) / float64(eligible)
}
