package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/aspenswitch/aspenswitch/settings"
)

// Violation is a promise that was broken.
type Violation struct {
	// Promise is its short name.
	Promise string        `json:"promise"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

// Check looks for broken promises in a history. settled is when the last fault
// had ended, end when the callers stopped.
func Check(h *History, b settings.Bounds, settled, end time.Duration) []Violation {
	c := newChecker(h, b)
	for _, req := range h.Requests {
		c.answer(req)
		c.notRun(req)
		c.revoked(req)
		c.departed(req)
		c.answered(req)
		c.stopped(req)
		c.unknown(req)
	}
	c.once()
	c.retries()
	c.moved()
	c.cancelled()
	c.recovered(settled, end)
	for _, e := range h.Exits {
		c.add("processes end when told", e.At, "router %d %s", e.Router, e.How)
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
	c.found = append(c.found, Violation{Promise: promise, At: at, Detail: fmt.Sprintf(format, args...)})
}

// answer: a success is an upstream's whole answer to its own request.
func (c *checker) answer(req Request) {
	if req.Wrong != "" {
		c.add("whole answer to its own request", req.Ended, "%s at router %d: %s", req.ID, req.Router, req.Wrong)
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

// once: what must not be repeated runs once at most, also if its caller never
// learnt what came of it.
func (c *checker) once() {
	for id, runs := range c.runs {
		if len(runs) > 1 && c.byID[id].Kind.once() {
			c.add("runs once", runs[1].Began, "%s ran at %s and %s", id, runs[0].Upstream, runs[1].Upstream)
		}
	}
}

// revoked: a key that was taken away is not served beyond the bound, whatever
// happened to the router.
func (c *checker) revoked(req Request) {
	for _, gone := range c.h.KeysGone {
		if req.Key == gone.Name && req.Sent > gone.At+c.b.Revoke() && len(c.runs[req.ID]) > 0 {
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
	if req.Left || took <= req.Kind.timeout()+late || c.touched(req.Router, req.Sent-contact, req.Ended, callerSide) {
		return
	}
	c.add("answered in time", req.Ended, "%s got its end after %v at router %d", req.ID, took, req.Router)
}

// crossing is how late a closing connection may meet a request that is on its way.
const crossing = 200 * time.Millisecond

// stopped: a planned stop, reload or change cuts no request that was read.
func (c *checker) stopped(req Request) {
	if req.Whole || req.Left || req.Wrong != "" || c.touched(req.Router, req.Sent-contact, req.Ended, callerSide) {
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
	for _, gone := range c.h.KeysGone {
		if req.Key == gone.Name || gone.At > settled {
			return // taken away, or a new key that may not be in force yet
		}
	}
	for _, added := range c.h.Additions {
		if req.Prefix == added.Name && added.At > settled {
			return
		}
	}
	if c.touched(req.Router, req.Sent-apply-contact, req.Ended, storeSide) {
		return
	}
	c.add("what is allowed is not denied", req.Ended, "%s got %d at router %d", req.ID, req.Status, req.Router)
}

// moved: a route's requests go to its service soon after a change, and an
// incarnation that has followed a change never goes back.
func (c *checker) moved() {
	apply := time.Duration(c.b.ApplyMs * float64(time.Millisecond))
	for _, req := range c.h.Requests {
		if req.Kind != Moving {
			continue
		}
		allowed := c.allowedServices(req.Sent - apply)
		for _, run := range c.runs[req.ID] {
			if !allowed[run.Service] && !c.touched(req.Router, req.Sent-apply-contact, run.Began, storeSide) {
				c.add("changes are in force in time", run.Began, "%s was run by %s at router %d", req.ID, run.Service, req.Router)
			}
		}
	}
}

// allowedServices are those that the moving route had at a moment or later.
func (c *checker) allowedServices(from time.Duration) map[string]bool {
	allowed := map[string]bool{}
	current := services[0]
	for _, m := range c.h.Moves {
		if m.At > from {
			allowed[m.Name] = true
			continue
		}
		current = m.Name
	}
	allowed[current] = true
	return allowed
}

// retries: arrivals beyond the first of each request stay within the budget.
func (c *checker) retries() {
	window := c.b.RetryWindow()
	type arrival struct {
		at     time.Duration
		repeat bool
	}
	byService := map[string][]arrival{}
	for _, runs := range c.runs {
		for i, run := range runs {
			byService[run.Service] = append(byService[run.Service], arrival{run.Began, i > 0})
		}
	}
	for service, all := range byService {
		for _, start := range all {
			first, repeats := 0, 0
			for _, a := range all {
				if a.at < start.at || a.at > start.at+window {
					continue
				}
				if a.repeat {
					repeats++
				} else {
					first++
				}
			}
			if float64(repeats) > c.b.RetryRatio*float64(first)+c.b.RetryAllowance {
				c.add("retries stay within the budget", start.at, "%s got %d beyond %d first ones", service, repeats, first)
				break
			}
		}
	}
}

const (
	// cancelWithin is how soon an upstream stops work for a caller that left.
	cancelWithin = 500 * time.Millisecond
	// fewLeft is the least number of such runs from which a share says something.
	fewLeft = 8
)

// cancelled: upstreams stop work for callers that left.
func (c *checker) cancelled() {
	left, worked := 0, 0
	for _, req := range c.h.Requests {
		if !req.Left || !req.Kind.streams() || c.touched(req.Router, req.Ended-contact, req.Ended+cancelWithin, callerSide) {
			continue
		}
		for _, run := range c.runs[req.ID] {
			if run.Began > req.Ended {
				continue
			}
			left++
			if run.Ended > req.Ended+cancelWithin || run.Ended == 0 {
				worked++
			}
		}
	}
	if left >= fewLeft && worked*4 > left {
		c.add("work ends when callers leave", 0, "%d of %d runs went on", worked, left)
	}
}

const (
	// recoverWithin is how long after the last fault the fleet must serve as before.
	recoverWithin = 6 * time.Second
	// servedShare is the least part of proper requests that is then served.
	servedShare = 0.95
)

// recovered: when faults have ended, nearly all proper requests are served.
func (c *checker) recovered(settled, end time.Duration) {
	proper, served := 0, 0
	for _, req := range c.h.Requests {
		if req.Sent < settled+recoverWithin || req.Sent > end || !c.proper(req) {
			continue
		}
		proper++
		if req.served() {
			served++
		}
	}
	if proper == 0 || float64(served) < servedShare*float64(proper) {
		c.add("serves as before", end, "%d of %d requests served once faults had ended", served, proper)
	}
}

// proper reports whether a request can be served: its key is good and its caller
// stayed.
func (c *checker) proper(req Request) bool { return !req.Left && !c.gone(req.Key) }

func (c *checker) gone(key string) bool {
	for _, g := range c.h.KeysGone {
		if g.Name == key {
			return true
		}
	}
	return false
}
