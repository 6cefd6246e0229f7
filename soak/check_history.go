package soak

import (
	"math"
	"net/http"
	"time"
)

// once: what must not be repeated runs once at most, also if its caller never
// learnt what came of it.
func (c *checker) once() {
	for id, runs := range c.runs {
		if len(runs) > 1 && c.byID[id].Kind.once() {
			c.add("runs once", runs[1].Began, "%s ran at %s and %s", id, runs[0].Upstream, runs[1].Upstream)
		}
	}
}

// neverBack: a process that has served a key goes on knowing it until it is taken
// away. One that denies it again has gone back to an older configuration; nothing
// excuses that.
func (c *checker) neverBack() {
	type process struct {
		router, incarnation int
		key                 string
	}
	known := map[process]time.Duration{}
	for _, req := range c.h.Requests {
		p := process{req.Router, req.Incarnation, req.Key}
		if at, seen := known[p]; len(c.runs[req.ID]) > 0 && (!seen || req.Ended < at) {
			known[p] = req.Ended
		}
	}
	for _, req := range c.h.Requests {
		at, served := known[process{req.Router, req.Incarnation, req.Key}]
		if req.Status == http.StatusUnauthorized && served && req.Sent > at+rollback && !c.goneBy(req.Key, req.Ended) {
			c.add("configuration never goes back", req.Ended, "%s: router %d denied key %s, which it had served", req.ID, req.Router, req.Key)
		}
	}
}

// rollback is how long after a process has served by a configuration its other
// goroutines may still decide by the one before.
const rollback = 250 * time.Millisecond

// goneBy reports whether a key had been taken away by a moment.
func (c *checker) goneBy(key string, at time.Duration) bool {
	for _, gone := range c.h.RevokedKeys {
		if gone.Name == key && gone.At <= at {
			return true
		}
	}
	return false
}

// moved: a route's requests go to its service soon after a change.
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
	for _, m := range c.h.RouteMoves {
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
		if !req.Abandoned || !req.Kind.streams() || c.touched(req.Router, req.Ended-contact, req.Ended+cancelWithin, callerSide) {
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
func (c *checker) proper(req Request) bool { return !req.Abandoned && !c.gone(req.Key) }

// gone reports whether a key was taken away during the run.
func (c *checker) gone(key string) bool { return c.goneBy(key, math.MaxInt64) }
