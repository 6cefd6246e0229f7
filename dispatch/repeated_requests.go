package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// returns remembers requests that were refused, so that a caller who comes back is
// known: its target counts from its first attempt. Without it second attempts,
// which will be late, take engines and their teams' shares from first ones, which
// could be in time: at a flood of twelve times a team's usual a third of the
// answers that it got were late.
type returns struct {
	// young and old are refused requests of the present and the last span.
	young, old map[Fingerprint]refusedOnce
	turnAt     time.Duration
}

// refusedOnce is a request that was refused.
type refusedOnce struct {
	// at is when its first attempt came, deadline when its caller gives up.
	at, deadline time.Duration
}

// Fingerprint names a request over its attempts, which have names of their own. Two
// requests may have the same; their deadlines tell them apart.
type Fingerprint uint64

const (
	// returnSpan is the time after which an entry is dropped, once or twice: callers
	// come back within a third of the longest deadline, 15 s.
	returnSpan = 5 * time.Second
	// maxReturns bounds each map: some 40 bytes an entry, at 2,000 refusals a second.
	maxReturns = 10000
	// sameDeadline is how far the deadlines of two attempts may differ: the way to the
	// router and through a busy one.
	sameDeadline = 150 * time.Millisecond
)

// FingerprintOf returns a request's fingerprint; ok is unset for requests without
// parts, which can't be told apart.
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
		_, _ = h.Write(raw[:]) // a hash can't fail
	}
	_, _ = h.WriteString(r.Team) // nor here
	add(uint64(r.Prompt))
	add(uint64(r.Output))
	for _, p := range r.Parts {
		add(p.ID)
	}
	return Fingerprint(h.Sum64()), true
}

// waited is how long ago the request's first attempt came, 0 if this is it.
func (m *returns) waited(now time.Duration, r *Request) time.Duration {
	f, ok := FingerprintOf(r)
	if !ok {
		return 0
	}
	e, found := m.young[f]
	if !found {
		e, found = m.old[f]
	}
	if !found || (now+r.Timeout-e.deadline).Abs() > sameDeadline {
		return 0
	}
	return max(now-e.at, 0)
}

// note remembers a refused request whose first attempt came at a moment.
func (m *returns) note(now time.Duration, f Fingerprint, e refusedOnce) {
	if now >= m.turnAt || len(m.young) >= maxReturns {
		m.old, m.young = m.young, map[Fingerprint]refusedOnce{}
		m.turnAt = now + returnSpan
	}
	m.young[f] = e
}

// ShedRequest is a request that a router has refused by itself.
type ShedRequest struct {
	Fingerprint Fingerprint
	// Age is how long ago it came, Timeout how long its caller then waited.
	Age, Timeout time.Duration
}

// RecordShed takes in requests of a team that a router has refused by itself, with the
// tokens that they asked for.
func (c *Core) RecordShed(now time.Duration, router uint64, team string, tokens float64, requests []ShedRequest) {
	c.teams.ask(now, router, team, tokens)
	c.teams.refused(now, team)
	for _, r := range requests {
		at := now - r.Age
		c.returns.note(now, r.Fingerprint, refusedOnce{at: at, deadline: at + r.Timeout})
	}
}
