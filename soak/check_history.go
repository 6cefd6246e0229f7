package soak

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"
)

// atMostOnce: a request that must not be repeated runs at most once, even if its caller never
// receives the outcome.
func (c *checker) atMostOnce() {
	for id, runs := range c.runs {
		if len(runs) > 1 && c.byID[id].Kind.atMostOnce() {
			c.report("runs once", runs[1].Began, "%s ran at %s and %s", id, runs[0].Upstream, runs[1].Upstream)
		}
	}
}

// configRollback: a process that has served a key accepts it until it is revoked. A process
// that rejects it earlier has returned to an older configuration, which no fault excuses.
func (c *checker) configRollback() {
	type process struct {
		router, incarnation int
		key                 string
	}
	servedAt := map[process]time.Duration{}
	for _, req := range c.h.Requests {
		p := process{req.Router, req.Incarnation, req.Key}
		if at, seen := servedAt[p]; len(c.runs[req.ID]) > 0 && (!seen || req.Ended < at) {
			servedAt[p] = req.Ended
		}
	}
	for _, req := range c.h.Requests {
		at, served := servedAt[process{req.Router, req.Incarnation, req.Key}]
		if req.Status == http.StatusUnauthorized && served && req.Sent > at+configSwitchTime && !c.revokedBy(req.Key, req.Ended) {
			c.report("configuration never goes back", req.Ended, "%s: router %d denied key %s, which it had served", req.ID, req.Router, req.Key)
		}
	}
}

// configSwitchTime is how long other goroutines of a process may still use the previous
// configuration after one has served a request with the next.
const configSwitchTime = 250 * time.Millisecond

// revokedBy reports whether a key had been revoked by the given time.
func (c *checker) revokedBy(key string, at time.Duration) bool {
	for _, revocation := range c.h.RevokedKeys {
		if revocation.Name == key && revocation.At <= at {
			return true
		}
	}
	return false
}

// routeMoves: a moved route's requests go to its new service within the bound.
func (c *checker) routeMoves() {
	apply := time.Duration(c.b.ApplyMs * float64(time.Millisecond))
	for _, req := range c.h.Requests {
		if req.Kind != Moving {
			continue
		}
		allowed := c.allowedServices(req.Sent - apply)
		for _, run := range c.runs[req.ID] {
			if !allowed[run.Service] && !c.affected(req.Router, req.Sent-apply-faultMargin, run.Began, storeScope) {
				c.report("changes are in force in time", run.Began, "%s was run by %s at router %d", req.ID, run.Service, req.Router)
			}
		}
	}
}

// allowedServices returns the services that the moving route had at the given time or later.
func (c *checker) allowedServices(from time.Duration) map[string]bool {
	allowed := map[string]bool{}
	current := services[0]
	for _, move := range c.h.RouteMoves {
		if move.At > from {
			allowed[move.Name] = true
			continue
		}
		current = move.Name
	}
	allowed[current] = true
	return allowed
}

// retries: the runs after the first of each request stay within the retry budget.
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
				c.report("retries stay within the budget", start.at, "%s got %d retries for %d first attempts", service, repeats, first)
				break
			}
		}
	}
}

const (
	// cancelTimeout is the time within which an upstream stops work for an abandoned request.
	cancelTimeout = 500 * time.Millisecond
	// minAbandonedRuns is the least number of such runs for which their ratio is checked.
	minAbandonedRuns = 8
)

// cancelled: upstreams stop work for abandoned requests.
func (c *checker) cancelled() {
	abandoned, continued := 0, 0
	for _, req := range c.h.Requests {
		if !req.Abandoned || !req.Kind.streaming() || c.affected(req.Router, req.Ended-faultMargin, req.Ended+cancelTimeout, callerScope) {
			continue
		}
		for _, run := range c.runs[req.ID] {
			if run.Began > req.Ended {
				continue
			}
			abandoned++
			if run.Ended > req.Ended+cancelTimeout || run.Ended == 0 {
				continued++
			}
		}
	}
	if abandoned >= minAbandonedRuns && continued*4 > abandoned {
		c.report("work ends when callers leave", 0, "%d of %d runs continued", continued, abandoned)
	}
}

const (
	// recoveryTimeout is the time after the last fault within which the fleet must recover.
	recoveryTimeout = 6 * time.Second
	// minServedRatio is the least ratio of eligible requests that are served after recovery.
	minServedRatio = 0.95
	// maxListedRequests limits the requests that a violation lists.
	maxListedRequests = 16
)

// recovered: once the faults have ended, nearly all eligible requests are served.
func (c *checker) recovered(settled, end time.Duration) {
	eligible, served := 0, 0
	var unserved []string
	for _, req := range c.h.Requests {
		if req.Sent < settled+recoveryTimeout || req.Sent > end || !c.eligible(req) {
			continue
		}
		eligible++
		if req.served() {
			served++
		} else if len(unserved) < maxListedRequests {
			unserved = append(unserved, fmt.Sprintf("%s (%s) at router %d, %v to %v, status %d, complete %t",
				req.ID, req.uri(), req.Router, req.Sent, req.Ended, req.Status, req.Complete))
		}
	}
	if eligible == 0 || float64(served) < minServedRatio*float64(eligible) {
		c.report("serves as before", end, "%d of %d requests served once faults had ended; not served: %s", served, eligible, strings.Join(unserved, "; "))
	}
}

// eligible reports whether a request can be served: its key was not revoked and its caller
// did not abandon it.
func (c *checker) eligible(req Request) bool { return !req.Abandoned && !c.revoked(req.Key) }

// revoked reports whether a key was revoked during the run.
func (c *checker) revoked(key string) bool { return c.revokedBy(key, math.MaxInt64) }
