package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/aspenswitch/aspenswitch/settings"
)

// Violation is a promise that was broken.
type Violation struct {
	// Invariant is its short name.
	Invariant string        `json:"promise"`
	At        time.Duration `json:"at"`
	Detail    string        `json:"detail"`
}

// Check looks for broken promises in a history. settled is when the last fault
// had ended, end when the callers stopped.
func Check(h *History, b settings.Bounds, settled, end time.Duration) []Violation {
	c := newChecker(h, b)
	// Promises to each request, in this file.
	for _, req := range h.Requests {
		c.answer(req)
		c.notRun(req)
		c.revoked(req)
		c.departed(req)
		c.answered(req)
		c.stopped(req)
		c.unknown(req)
		c.quarantined(req)
	}
	// Promises about all of them.
	c.once()
	c.retries()
	c.crashLimit()
	c.leavingNotices()
	c.retryAfter()
	c.warmUps()
	c.evacuations()
	c.moved()
	c.neverBack()
	c.cancelled()
	c.recovered(settled, end)
	for _, e := range h.Exits {
		c.add("processes end when told", e.At, "router %d %s", e.Router, e.Reason)
	}
	return c.found
}

// checker has a history's entries by what is looked up.
type checker struct {
	h     *History
	b     settings.Bounds
	runs  map[string][]Run
	byID  map[string]Request
	found []Violation
}

func newChecker(h *History, b settings.Bounds) *checker {
	c := &checker{h: h, b: b, runs: map[string][]Run{}, byID: map[string]Request{}}
	for _, run := range h.Runs {
		c.runs[run.Request] = append(c.runs[run.Request], run)
	}
	for _, req := range h.Requests {
		c.byID[req.ID] = req
	}
	return c
}

func (c *checker) add(promise string, at time.Duration, format string, args ...any) {
	c.found = append(c.found, Violation{Invariant: promise, At: at, Detail: fmt.Sprintf(format, args...)})
}

// answer: a success is an upstream's whole answer to its own request.
func (c *checker) answer(req Request) {
	if req.Defect != "" {
		c.add("whole answer to its own request", req.Ended, "%s at router %d: %s", req.ID, req.Router, req.Defect)
	}
}

// promisesNotRun reports whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// notRun: what was refused has not run and never will.
func (c *checker) notRun(req Request) {
	if req.Kind.once() && promisesNotRun(req.Status) && len(c.runs[req.ID]) > 0 {
		c.add("refused is not run", req.Ended, "%s got %d at router %d and ran at %s", req.ID, req.Status, req.Router, c.runs[req.ID][0].Upstream)
	}
}

// revoked: a key that was taken away is not served beyond the bound, whatever
// happened to the router.
func (c *checker) revoked(req Request) {
	for _, gone := range c.h.RevokedKeys {
		if req.Key == gone.Name && req.Sent > gone.At+c.b.MaxRevocationDelay() && len(c.runs[req.ID]) > 0 {
			c.add("keys end in time", req.Sent, "%s ran %v after its key %s was taken away", req.ID, req.Sent-gone.At, req.Key)
		}
	}
}

// departed: an upstream that leaves gets no new work beyond the bound.
func (c *checker) departed(req Request) {
	bound := time.Duration(c.b.LeaveMs * float64(time.Millisecond))
	for _, run := range c.runs[req.ID] {
		for _, d := range c.h.Departures {
			if run.Upstream == d.Name && req.Sent > d.At+bound && !c.touched(req.Router, d.At-contact, run.Began, storeSide) {
				c.add("leaving upstreams get no work", run.Began, "%s reached %s %v after it left", req.ID, run.Upstream, run.Began-d.At)
			}
		}
	}
}

// late is how long after its time limit a request may still get its answer.
const late = 500 * time.Millisecond

// answered: what a router has read is answered within the route's time.
func (c *checker) answered(req Request) {
	took := req.Ended - req.Sent
	if req.Abandoned || took <= req.Kind.timeout()+late || c.touched(req.Router, req.Sent-contact, req.Ended, callerSide) {
		return
	}
	c.add("answered in time", req.Ended, "%s got its end after %v at router %d", req.ID, took, req.Router)
}

// crossing is how late a closing connection may meet a request that is on its way.
const crossing = 200 * time.Millisecond

// stopped: a planned stop, reload or change cuts no request that was read.
func (c *checker) stopped(req Request) {
	if req.Complete || req.Abandoned || req.Defect != "" || c.touched(req.Router, req.Sent-contact, req.Ended, callerSide) {
		return
	}
	runs := c.runs[req.ID]
	if len(runs) == 0 && req.Status == 0 && req.Ended-req.Sent <= crossing {
		return
	}
	if c.upstreamsTouched(req, runs) {
		return
	}
	c.add("nothing is cut", req.Ended, "%s at router %d ended after %v with status %d and no whole answer", req.ID, req.Router, req.Ended-req.Sent, req.Status)
}

// unknown: a key or route that every configuration in force allows is not denied.
func (c *checker) unknown(req Request) {
	if req.Status != http.StatusUnauthorized && req.Status != http.StatusNotFound && req.Status != http.StatusForbidden {
		return
	}
	apply := time.Duration(c.b.ApplyMs * float64(time.Millisecond))
	settled := req.Sent - apply
	for _, gone := range c.h.RevokedKeys {
		if req.Key == gone.Name || gone.At > settled {
			return // taken away, or a new key that may not be in force yet
		}
	}
	for _, added := range c.h.RouteAdditions {
		if req.Prefix == added.Name && added.At > settled {
			return
		}
	}
	if c.touched(req.Router, req.Sent-apply-contact, req.Ended, storeSide) {
		return
	}
	c.add("what is allowed is not denied", req.Ended, "%s got %d at router %d", req.ID, req.Status, req.Router)
}
