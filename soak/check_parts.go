package soak

import (
	"slices"
	"strings"
	"time"
)

const (
	// countedPartCrashes is the number of crashes after which a part must no longer be sent.
	countedPartCrashes = 5
	// maxLatePartSends is how often requests with a part may still reach upstreams later than
	// faultMargin after that.
	maxLatePartSends = 3
	// partQuarantineAfter is the number of upstreams that must fail before a part is quarantined.
	partQuarantineAfter = 4
	// minSoundRequests is the least number of sound requests whose share is compared.
	minSoundRequests = 20
)

// hasPart reports whether the prompt of a request has a part, not counting the last one.
func (r Request) hasPart(part string) bool {
	list := strings.Split(r.Parts, ",")
	return slices.Contains(list[:len(list)-1], part)
}

// partCrashes returns the times at which a part crashed upstreams, one for each upstream.
func (c *checker) partCrashes(part string) []time.Duration {
	var times []time.Duration
	seen := map[string]bool{}
	for _, crash := range c.h.Crashes {
		if crash.Part == part && !seen[crash.Upstream] {
			seen[crash.Upstream] = true
			times = append(times, crash.At)
		}
	}
	slices.Sort(times)
	return times
}

// crashingParts returns the parts that have crashed upstreams.
func (c *checker) crashingParts() []string {
	var parts []string
	for _, crash := range c.h.Crashes {
		if crash.Part != "" && !slices.Contains(parts, crash.Part) {
			parts = append(parts, crash.Part)
		}
	}
	return parts
}

// partLimit: requests with a part that has crashed countedPartCrashes upstreams reach upstreams at
// most maxLatePartSends times later than faultMargin after the last of these.
func (c *checker) partLimit() {
	for _, part := range c.crashingParts() {
		crashes := c.partCrashes(part)
		if len(crashes) < countedPartCrashes {
			continue
		}
		bound, sends := crashes[countedPartCrashes-1]+faultMargin, 0
		for _, req := range c.h.Requests {
			if req.Kind != CrashingPart || !req.hasPart(part) {
				continue
			}
			for _, run := range c.runs[req.ID] {
				if run.Began > bound && !c.affected(req.Router, run.Began-faultMargin, run.Began, storeScope) {
					sends++
				}
			}
		}
		if sends > maxLatePartSends {
			c.report("parts that crash upstreams are held", bound, "part %s was sent %d more times later than %v after its fifth crash; it crashed %d upstreams", part, sends, faultMargin, len(crashes))
		}
	}
}

// quarantinedPart: a request is rejected for a part that crashes nothing only after prompts with it
// were interrupted at partQuarantineAfter different upstreams.
func (c *checker) quarantinedPart(req Request) {
	if req.QuarantinedPart == "" || slices.Contains(c.crashingParts(), req.QuarantinedPart) {
		return
	}
	failedUpstreams := map[string]bool{}
	for _, other := range c.h.Requests {
		if !other.hasPart(req.QuarantinedPart) {
			continue
		}
		for i, run := range c.runs[other.ID] {
			last := i == len(c.runs[other.ID])-1
			if run.Began < req.Ended && !(last && other.served()) {
				failedUpstreams[run.Upstream] = true
			}
		}
	}
	if len(failedUpstreams) < partQuarantineAfter {
		c.report("only parts that crash upstreams are held", req.Ended, "%s was rejected for part %s at router %d after failures of only %d upstreams", req.ID, req.QuarantinedPart, req.Router, len(failedUpstreams))
	}
}

// soundBesideParts: from twice faultMargin after the fifth crash by a part, or the last if there are
// fewer, while requests with it still come, sound requests of their route start at least half as often
// as without any fault of routers or upstreams.
func (c *checker) soundBesideParts() {
	calm, calmStarted := 0, 0
	for _, req := range c.h.Requests {
		if c.soundStream(req) && !c.disturbed(req.Sent-faultMargin, req.Ended, "") {
			calm++
			if req.Events > 0 {
				calmStarted++
			}
		}
	}
	for _, f := range c.h.FaultIntervals {
		if f.Kind != PartRequests {
			continue
		}
		crashes := c.crashesWithin(f)
		if len(crashes) == 0 {
			continue
		}
		from := crashes[min(len(crashes), countedPartCrashes)-1] + 2*faultMargin
		sent, started := 0, 0
		for _, req := range c.h.Requests {
			if c.soundStream(req) && req.Sent > from && req.Ended < f.To && !c.disturbed(req.Sent-faultMargin, req.Ended, PartRequests) {
				sent++
				if req.Events > 0 {
					started++
				}
			}
		}
		if sent >= minSoundRequests && calm >= minSoundRequests && 2*started*calm < calmStarted*sent {
			c.report("sound requests start beside crashing parts", from, "%d of %d started, %d of %d without faults", started, sent, calmStarted, calm)
		}
	}
}

// soundStream reports whether a request is a caller's new stream that a router could serve.
func (c *checker) soundStream(req Request) bool {
	return req.Kind == ResumableStream && req.Continues == "" && !req.Abandoned && !c.revoked(req.Key)
}

// crashesWithin returns the times of crashes by parts during a fault.
func (c *checker) crashesWithin(f FaultInterval) []time.Duration {
	var times []time.Duration
	for _, part := range c.crashingParts() {
		for _, at := range c.partCrashes(part) {
			if at >= f.From && at <= f.To {
				times = append(times, at)
			}
		}
	}
	slices.Sort(times)
	return times
}

// disturbed reports whether a fault was active in an interval, other than those of a kind.
func (c *checker) disturbed(from, to time.Duration, except FaultKind) bool {
	return slices.ContainsFunc(c.h.FaultIntervals, func(f FaultInterval) bool {
		return f.Kind != except && f.To >= from && f.From <= to
	})
}
