package soak

import (
	"cmp"
	"slices"
	"time"
)

// recoverySpan is the span over which the served share is taken: some fifty requests
// of the usual number of callers.
const recoverySpan = 500 * time.Millisecond

// RecoveryTime is how long after a moment the fleet served as before: from then on, in
// each span, nearly all proper requests were served. It is the whole time until end
// if it never did.
func RecoveryTime(h *History, from, end time.Duration) time.Duration {
	c := &checker{h: h}
	var after []Request
	for _, req := range h.Requests {
		if req.Sent >= from && c.proper(req) {
			after = append(after, req)
		}
	}
	slices.SortFunc(after, func(a, b Request) int { return cmp.Compare(a.Sent, b.Sent) })
	for at := end - recoverySpan; at >= from; at -= recoverySpan / 5 {
		if servedWithin(after, at, at+recoverySpan) < servedShare {
			return at + recoverySpan - from
		}
	}
	return 0
}

// servedWithin is the part of the requests sent within a span that was served, 0 if
// none was sent.
func servedWithin(all []Request, from, to time.Duration) float64 {
	proper, served := 0, 0
	for _, req := range all {
		if req.Sent < from || req.Sent >= to {
			continue
		}
		proper++
		if req.served() {
			served++
		}
	}
	if proper == 0 {
		return 0
	}
	return float64(served) / float64(proper)
}
