package soak

import (
	"slices"
	"time"
)

// maxLateSends is how often a request may still be sent later than faultMargin after it
// crashed its third upstream.
const maxLateSends = 3

// crashLimit: a request that has crashed three upstreams is sent at most maxLateSends times
// later than faultMargin after the third crash.
func (c *checker) crashLimit() {
	crashTimes := map[string][]time.Duration{}
	for _, crash := range c.h.Crashes {
		crashTimes[crash.URI] = append(crashTimes[crash.URI], crash.At)
	}
	lateSends := map[string]int{}
	for _, req := range c.h.Requests {
		crashes := crashTimes[req.uri()]
		if req.Kind != Crashing || len(crashes) < 3 {
			continue
		}
		slices.Sort(crashes)
		for _, run := range c.runs[req.ID] {
			if run.Began > crashes[2]+faultMargin && !c.affected(req.Router, run.Began-faultMargin, run.Began, storeScope) {
				lateSends[req.uri()]++
			}
		}
	}
	for uri, sends := range lateSends {
		if sends > maxLateSends {
			c.report("requests that crash upstreams are held", crashTimes[uri][2], "%s was sent %d more times later than %v after its third crash", uri, sends, faultMargin)
		}
	}
}

// quarantined: a request is rejected as quarantined only after requests of its team with the same
// content got no complete response from quarantineAfter different upstream incarnations.
func (c *checker) quarantined(req Request) {
	if !req.Quarantined || req.QuarantinedPart != "" || req.Kind == Crashing || req.Kind == CrashingPart {
		return
	}
	failedUpstreams := map[string]bool{}
	for _, other := range c.h.Requests {
		if other.uri() != req.uri() || (other.Key == fixedKey) != (req.Key == fixedKey) {
			continue
		}
		for i, run := range c.runs[other.ID] {
			last := i == len(c.runs[other.ID])-1
			if run.Began < req.Ended && !(last && other.served()) {
				failedUpstreams[run.Upstream] = true
			}
		}
	}
	if len(failedUpstreams) < quarantineAfter {
		c.report("only what crashes upstreams is held", req.Ended, "%s to %s was rejected as quarantined at router %d after failures of only %d upstreams", req.ID, req.uri(), req.Router, len(failedUpstreams))
	}
}

// quarantineAfter is the number of upstreams that must fail before content is quarantined.
const quarantineAfter = 3

// routerProcess identifies one process of a router.
type routerProcess struct{ router, incarnation int }

// leavingNotices: a router that has forwarded an upstream's leaving notice sends nothing to that
// upstream beyond the bound, whether or not it can reach the platform, unless it was killed,
// paused or stopped since.
func (c *checker) leavingNotices() {
	type source struct {
		routerProcess
		upstream string
	}
	noticeTimes := map[source]time.Duration{}
	for _, req := range c.h.Requests {
		runs := c.runs[req.ID]
		// A resumed stream keeps the headers of its first upstream, and the runs don't show which
		// one that was.
		if !req.LeavingNotice || len(runs) == 0 || req.Kind.streaming() && len(runs) > 1 {
			continue
		}
		s := source{routerProcess{req.Router, req.Incarnation}, runs[len(runs)-1].Upstream}
		if at, known := noticeTimes[s]; !known || req.Ended < at {
			noticeTimes[s] = req.Ended
		}
	}
	bound := time.Duration(c.b.LeaveMs * float64(time.Millisecond))
	for _, req := range c.h.Requests {
		for _, run := range c.runs[req.ID] {
			at, known := noticeTimes[source{routerProcess{req.Router, req.Incarnation}, run.Upstream}]
			if known && req.Sent > at+bound && !c.interrupted(req.Router, at, run.Began) {
				c.report("leaving notices are heeded", run.Began, "%s reached %s %v after router %d forwarded its leaving notice", req.ID, run.Upstream, run.Began-at, req.Router)
			}
		}
	}
}

const (
	// retryAfterGrace is how long after a rejection a router may take to apply its Retry-After.
	retryAfterGrace = 500 * time.Millisecond
	// maxSendsDuringDelay is how many requests of the router may still reach the upstream
	// during the rest of the delay.
	maxSendsDuringDelay = 2
)

// retryAfter: a router sends an upstream at most maxSendsDuringDelay requests between
// retryAfterGrace after a rejection and the end of its Retry-After delay.
func (c *checker) retryAfter() {
	for _, r := range c.h.Rejections {
		rejectedReq, known := c.byID[r.Request]
		if !known || c.affected(rejectedReq.Router, r.At-faultMargin, r.At+r.RetryAfter, storeScope) {
			continue
		}
		sends := 0
		for _, later := range c.h.Rejections {
			other, known := c.byID[later.Request]
			if known && other.Router == rejectedReq.Router && later.Upstream == r.Upstream && later.At > r.At+retryAfterGrace && later.At < r.At+r.RetryAfter {
				sends++
			}
		}
		if sends > maxSendsDuringDelay {
			c.report("rest is kept", r.At, "%s sent router %d a Retry-After of %v and got %d more requests before it ended", r.Upstream, rejectedReq.Router, r.RetryAfter, sends)
		}
	}
}

// interrupted reports whether a router's process was killed, paused or stopped in an interval.
func (c *checker) interrupted(router int, from, to time.Duration) bool {
	for _, f := range c.h.FaultIntervals {
		ofRouter := f.Kind == RouterKillAll || f.Target == router && (f.Kind == RouterKill || f.Kind == RouterPause || f.Kind == RouterStop)
		if ofRouter && f.To >= from && f.From <= to {
			return true
		}
	}
	return false
}

// crashed reports whether a request crashed an upstream, which cuts off all requests running there.
func (c *checker) crashed(upstream string) bool {
	return slices.ContainsFunc(c.h.Crashes, func(crash Crash) bool { return crash.Upstream == upstream })
}
