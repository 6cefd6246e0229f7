package dispatch

import (
	"math"
	"time"
)

// Receipts are what a router's teams got from each group of upstreams. Homes are told of
// the other groups with each question, as a team's share is that of the whole fleet and
// a home sees only its own engines. G names a group. It isn't safe for concurrent use.
type Receipts[G comparable] struct {
	window time.Duration
	teams  map[string]map[G]*receipt
}

type receipt struct {
	got Got
	at  time.Duration
}

// mostReceiptTeams bounds the memory, at some 120 bytes a group that a team uses. Above
// it all are forgotten: for a few seconds each home divides its engines alike.
const mostReceiptTeams = 4096

// NewReceipts returns empty receipts over the window of teams' shares.
func NewReceipts[G comparable](window time.Duration) *Receipts[G] {
	return &Receipts[G]{window: window, teams: map[string]map[G]*receipt{}}
}

// Add notes that a team's request was sent to an upstream of a group.
func (r *Receipts[G]) Add(now time.Duration, team string, group G, tokens float64) {
	groups := r.teams[team]
	if groups == nil {
		if len(r.teams) >= mostReceiptTeams {
			clear(r.teams)
		}
		groups = map[G]*receipt{}
		r.teams[team] = groups
	}
	e := groups[group]
	if e == nil {
		e = &receipt{at: now}
		groups[group] = e
	}
	e.decay(now, r.window)
	e.got.Window += tokens
	e.got.Lately += tokens
}

// Elsewhere is what a team got from all groups but one.
func (r *Receipts[G]) Elsewhere(now time.Duration, team string, but G) Got {
	var sum Got
	for group, e := range r.teams[team] {
		e.decay(now, r.window)
		if e.got.Window < idleAccount {
			delete(r.teams[team], group)
			continue
		}
		if group == but {
			continue
		}
		sum.Window += e.got.Window
		sum.Lately += e.got.Lately
	}
	return sum
}

func (e *receipt) decay(now, window time.Duration) {
	if now <= e.at {
		return
	}
	passed := float64(now - e.at)
	e.got.Window *= math.Exp(-passed / float64(window))
	e.got.Lately *= math.Exp(-passed / float64(rateWindow))
	e.at = now
}

// Teams is the number of teams of which anything is kept.
func (r *Receipts[G]) Teams() int { return len(r.teams) }
