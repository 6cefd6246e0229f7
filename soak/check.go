package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/aspenswitch/aspenswitch/settings"
)

// Violation is a violated invariant.
type Violation struct {
	// Invariant is the short name of the invariant.
	Invariant string        `json:"promise"`
	At        time.Duration `json:"at"`
	Detail    string        `json:"detail"`
}

// Check returns the violated invariants of a history. settled is the time at which the
// last fault had ended, end the time at which the callers stopped.
func Check(h *History, b settings.Bounds, settled, end time.Duration) []Violation {
	c := newChecker(h, b)
	// Invariants of a single request, in this file.
	for _, req := range h.Requests {
		c.validAnswer(req)
		c.notRun(req)
		c.revokedKey(req)
		c.departure(req)
		c.answerTime(req)
		c.noCut(req)
		c.wrongDenial(req)
		c.quarantined(req)
		c.quarantinedPart(req)
	}
	// Invariants of the whole history.
	c.atMostOnce()
	c.retries()
	c.crashLimit()
	c.partLimit()
	c.soundBesideParts()
	c.leavingNotices()
	c.retryAfter()
	c.warmUps()
	c.evacuations()
	c.streamVersions()
	c.continuations()
	c.routeMoves()
	c.configRollback()
	c.cancelled()
	c.recovered(settled, end)
	for _, e := range h.Exits {
		c.report("processes end when told", e.At, "router %d %s", e.Router, e.Reason)
	}
	return c.violations
}

// checker indexes the runs and requests of a history and collects violations.
type checker struct {
	h          *History
	b          settings.Bounds
	runs       map[string][]Run
	byID       map[string]Request
	violations []Violation
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

func (c *checker) report(invariant string, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: invariant, At: at, Detail: fmt.Sprintf(format, args...)})
}

// validAnswer: a success is the complete response of an upstream to the same request.
func (c *checker) validAnswer(req Request) {
	if req.Defect != "" {
		c.report("whole answer to its own request", req.Ended, "%s at router %d: %s", req.ID, req.Router, req.Defect)
	}
}

// impliesNotRun reports whether a status states that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// notRun: a rejected request was not run and never will be.
func (c *checker) notRun(req Request) {
	if req.Kind.atMostOnce() && impliesNotRun(req.Status) && len(c.runs[req.ID]) > 0 {
		c.report("refused is not run", req.Ended, "%s got %d at router %d and ran at %s", req.ID, req.Status, req.Router, c.runs[req.ID][0].Upstream)
	}
}

// revokedKey: a revoked key is not served beyond the bound. Faults of the router are no
// exception.
func (c *checker) revokedKey(req Request) {
	for _, revocation := range c.h.RevokedKeys {
		if req.Key == revocation.Name && req.Sent > revocation.At+c.b.MaxRevocationDelay() && len(c.runs[req.ID]) > 0 {
			c.report("keys end in time", req.Sent, "%s ran %v after its key %s was revoked", req.ID, req.Sent-revocation.At, req.Key)
		}
	}
}

// departure: a leaving upstream gets no new requests beyond the bound.
func (c *checker) departure(req Request) {
	bound := time.Duration(c.b.LeaveMs * float64(time.Millisecond))
	for _, run := range c.runs[req.ID] {
		for _, d := range c.h.Departures {
			if run.Upstream == d.Name && req.Sent > d.At+bound && !c.affected(req.Router, d.At-faultMargin, run.Began, storeScope) {
				c.report("leaving upstreams get no work", run.Began, "%s reached %s %v after it left", req.ID, run.Upstream, run.Began-d.At)
			}
		}
	}
}

// answerSlack is how long after its time limit a request may still be answered.
const answerSlack = 500 * time.Millisecond

// answerTime: a request that a router has read is answered within the route's timeout.
func (c *checker) answerTime(req Request) {
	took := req.Ended - req.Sent
	if req.Abandoned || took <= req.Kind.timeout()+answerSlack || c.affected(req.Router, req.Sent-faultMargin, req.Ended, callerScope) {
		return
	}
	c.report("answered in time", req.Ended, "%s ended after %v at router %d", req.ID, took, req.Router)
}

// closeRaceWindow is how long after it was sent a request may end without a response or a run,
// because the router was closing the connection at the same time.
const closeRaceWindow = 200 * time.Millisecond

// noCut: a graceful stop, reload or configuration change cuts off no request that was read.
func (c *checker) noCut(req Request) {
	if req.Complete || req.Abandoned || req.Defect != "" || c.affected(req.Router, req.Sent-faultMargin, req.Ended, callerScope) {
		return
	}
	runs := c.runs[req.ID]
	if len(runs) == 0 && req.Status == 0 && req.Ended-req.Sent <= closeRaceWindow {
		return
	}
	if c.upstreamsAffected(req, runs) {
		return
	}
	c.report("nothing is cut", req.Ended, "%s at router %d ended after %v with status %d and no complete response", req.ID, req.Router, req.Ended-req.Sent, req.Status)
}

// wrongDenial: a key or route that every configuration in force allows is not rejected.
func (c *checker) wrongDenial(req Request) {
	if req.Status != http.StatusUnauthorized && req.Status != http.StatusNotFound && req.Status != http.StatusForbidden {
		return
	}
	apply := time.Duration(c.b.ApplyMs * float64(time.Millisecond))
	settled := req.Sent - apply
	for _, revocation := range c.h.RevokedKeys {
		if req.Key == revocation.Name || revocation.At > settled {
			return // revoked, or a new key that may not be in force yet
		}
	}
	for _, added := range c.h.RouteAdditions {
		if req.Prefix == added.Name && added.At > settled {
			return
		}
	}
	if c.affected(req.Router, req.Sent-apply-faultMargin, req.Ended, storeScope) {
		return
	}
	c.report("what is allowed is not denied", req.Ended, "%s got %d at router %d", req.ID, req.Status, req.Router)
}
