package soak

import (
	"strconv"
	"strings"
	"time"
)

// side says which disturbances excuse a router.
type side uint8

const (
	// callerSide are those of its process and of its link to the callers.
	callerSide side = iota
	// storeSide are those and the ones of the store and of the link to it.
	storeSide
)

// touched reports whether a router was disturbed within a span, other than by
// planned work.
func (c *checker) touched(router int, from, to time.Duration, s side) bool {
	for _, d := range c.h.FaultIntervals {
		if d.To >= from && d.From <= to && d.concerns(router, s) {
			return true
		}
	}
	return false
}

func (d FaultInterval) concerns(router int, s side) bool {
	switch d.Kind {
	case RouterKillAll:
		return true
	case StoreDown, StoreCompact:
		return s == storeSide
	case StoreDelay, StoreReset, StoreStall, StorePartition, StoreDownForRouter:
		return s == storeSide && d.Target == router
	case RouterKill, RouterPause, CallersDelay, CallersReset, CallersStall, CallersPartition:
		return d.Target == router
	default:
		return false
	}
}

// upstreamsTouched reports whether one of the upstreams that ran a request was
// disturbed meanwhile.
func (c *checker) upstreamsTouched(req Request, runs []Run) bool {
	for _, run := range runs {
		if c.crashed(run.Upstream) {
			return true
		}
		place, ok := placeOf(run.Upstream)
		if !ok {
			continue
		}
		for _, d := range c.h.FaultIntervals {
			if d.onUpstream() && d.Target == place && d.To >= req.Sent-contact && d.From <= req.Ended {
				return true
			}
		}
	}
	return false
}

func (d FaultInterval) onUpstream() bool {
	switch d.Kind {
	case UpstreamDelay, UpstreamReset, UpstreamStall, UpstreamPartition, UpstreamLeave, UpstreamCrash, UpstreamGrey, UpstreamNotice, UpstreamRetryAfter, UpstreamColdRestart:
		return true
	default:
		return false
	}
}

// placeOf is the number of the place at which an upstream ran.
func placeOf(id string) (int, bool) {
	number, _, found := strings.Cut(strings.TrimPrefix(id, "u"), "-")
	place, err := strconv.Atoi(number)
	return place, found && err == nil
}
