package soak

import (
	"strconv"
	"strings"
	"time"
)

// scope selects the faults that excuse a violation of a router.
type scope uint8

const (
	// callerScope has the faults of its process and of its link to the callers.
	callerScope scope = iota
	// storeScope adds the faults of the store and of the router's link to it.
	storeScope
)

// affected reports whether a router was affected by a fault in an interval. Planned
// operations, such as graceful stops and reloads, don't count.
func (c *checker) affected(router int, from, to time.Duration, s scope) bool {
	for _, f := range c.h.FaultIntervals {
		if f.To >= from && f.From <= to && f.affects(router, s) {
			return true
		}
	}
	return false
}

func (f FaultInterval) affects(router int, s scope) bool {
	switch f.Kind {
	case RouterKillAll:
		return true
	case StoreDown, StoreCompact, StoreRestore:
		return s == storeScope
	case StoreDelay, StoreReset, StoreStall, StorePartition, StoreDownForRouter:
		return s == storeScope && f.Target == router
	case RouterKill, RouterPause, CallersDelay, CallersReset, CallersStall, CallersPartition, ConnectionFlood:
		return f.Target == router
	default:
		return false
	}
}

// upstreamsAffected reports whether one of the upstreams that ran a request was affected by
// a fault in the meantime.
func (c *checker) upstreamsAffected(req Request, runs []Run) bool {
	for _, run := range runs {
		if c.crashed(run.Upstream) {
			return true
		}
		endpoint, ok := endpointOf(run.Upstream)
		if !ok {
			continue
		}
		for _, f := range c.h.FaultIntervals {
			if f.affectsUpstream() && f.Target == endpoint && f.To >= req.Sent-faultMargin && f.From <= req.Ended {
				return true
			}
		}
	}
	return false
}

func (f FaultInterval) affectsUpstream() bool {
	switch f.Kind {
	case UpstreamDelay, UpstreamReset, UpstreamStall, UpstreamPartition, UpstreamLeave, UpstreamCrash, UpstreamGrey, UpstreamNotice, UpstreamRetryAfter, UpstreamColdRestart, UpstreamUpgrade, UpstreamUnframed:
		return true
	default:
		return false
	}
}

// endpointOf returns the number of the endpoint at which an upstream ran.
func endpointOf(id string) (int, bool) {
	number, _, found := strings.Cut(strings.TrimPrefix(id, "u"), "-")
	endpoint, err := strconv.Atoi(number)
	return endpoint, found && err == nil
}
