package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// refusalHistory stores refused requests, so that the target of a repeated request counts
// from its first attempt. Without it, repeated requests, which will be late, take engine
// time and share from first attempts that could be in time: with a flood of twelve times a
// team's usual load, a third of its answers were late.
type refusalHistory struct {
	// current and previous are the refused requests of the current and the previous span.
	current, previous map[Fingerprint]refusedRequest
	rotateAt          time.Duration
}

// refusedRequest is a request that was refused.
type refusedRequest struct {
	// firstAttemptAt is when the first attempt was submitted, and deadlineAt when the
	// caller gives up.
	firstAttemptAt, deadlineAt time.Duration
}

// Fingerprint identifies a request across its attempts, which have different IDs. Two
// requests may share a fingerprint; they are distinguished by their deadlines.
type Fingerprint uint64

const (
	// historySpan is the time after which the maps rotate, so that an entry is dropped
	// after one to two spans. Callers retry within a third of the longest deadline, which
	// is 15 s.
	historySpan = 5 * time.Second
	// maxHistoryEntries bounds each map. It allows 2,000 refusals per second at about 40
	// bytes per entry.
	maxHistoryEntries = 10000
	// deadlineTolerance is the maximum difference between the deadlines of two attempts.
	// It covers the latency to the router and within a busy one.
	deadlineTolerance = 150 * time.Millisecond
)

// FingerprintOf returns a request's fingerprint. ok is false for requests without parts,
// which can't be distinguished.
func FingerprintOf(r *Request) (f Fingerprint, ok bool) {
	if len(r.Parts) == 0 {
		return 0, false
	}
	var raw [8]byte
	h := xxhash.New()
	add := func(n uint64) {
		for i := range raw {
			raw[i] = byte(n >> (8 * i))
		}
		_, _ = h.Write(raw[:]) // a hash write never fails
	}
	_, _ = h.WriteString(r.Team)
	add(uint64(r.Prompt))
	add(uint64(r.Output))
	for _, p := range r.Parts {
		add(p.ID)
	}
	return Fingerprint(h.Sum64()), true
}

// sinceFirstAttempt returns the time since the request's first attempt, or 0 if this is
// the first.
func (h *refusalHistory) sinceFirstAttempt(now time.Duration, r *Request) time.Duration {
	f, ok := FingerprintOf(r)
	if !ok {
		return 0
	}
	e, found := h.current[f]
	if !found {
		e, found = h.previous[f]
	}
	if !found || (now+r.Timeout-e.deadlineAt).Abs() > deadlineTolerance {
		return 0
	}
	return max(now-e.firstAttemptAt, 0)
}

// record stores a refused request.
func (h *refusalHistory) record(now time.Duration, f Fingerprint, e refusedRequest) {
	if now >= h.rotateAt || len(h.current) >= maxHistoryEntries {
		h.previous, h.current = h.current, map[Fingerprint]refusedRequest{}
		h.rotateAt = now + historySpan
	}
	h.current[f] = e
}

// ShedRequest is a request that a router refused without submitting it.
type ShedRequest struct {
	Fingerprint Fingerprint
	// Age is the time since the request arrived, and Timeout the time to its deadline at
	// that moment.
	Age, Timeout time.Duration
}

// RecordShed records requests of a team that a router refused without submitting them,
// with the number of tokens requested.
func (c *Core) RecordShed(now time.Duration, router uint64, team string, tokens float64, requests []ShedRequest) {
	c.shares.addRequested(now, router, team, tokens)
	c.shares.recordRefusal(now, team)
	for _, r := range requests {
		at := now - r.Age
		c.refusals.record(now, r.Fingerprint, refusedRequest{firstAttemptAt: at, deadlineAt: at + r.Timeout})
	}
}
