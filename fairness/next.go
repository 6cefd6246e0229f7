package fairness

import (
	"math"
	"time"
)

// Candidate is a team that has requests waiting somewhere.
type Candidate struct {
	Team TeamID
	// Router is where the requests wait; empty for this router.
	Router string
	Key    float64
	// Waiting counts the requests that wait there.
	Waiting int
}

// NextLocal returns the team to serve next of those waiting here.
func (a *Accounts) NextLocal(now time.Time) (Candidate, bool) {
	best := Candidate{Key: math.Inf(1)}
	found := false
	for _, acc := range a.order {
		if acc.own.Waiting == 0 {
			continue
		}
		if key := a.key(now, acc); key < best.Key {
			best = Candidate{Team: acc.id, Key: key, Waiting: acc.own.Waiting}
			found = true
		}
	}
	return best, found
}

// NextRemote returns the least served team that waits at another router.
// Requests that a slot was already given up for don't count.
func (a *Accounts) NextRemote(now time.Time) (Candidate, bool) {
	best := Candidate{Key: math.Inf(1)}
	found := false
	for _, acc := range a.order {
		waiting := a.remoteWaiting(acc.id)
		if waiting == 0 {
			continue
		}
		key := a.key(now, acc)
		if key >= best.Key {
			continue
		}
		best = Candidate{Team: acc.id, Router: a.longestQueue(acc.id), Key: key, Waiting: waiting}
		found = true
	}
	return best, found
}

// longestQueue is the live router with most waiting requests of the team; the
// first by name where several are.
func (a *Accounts) longestQueue(id TeamID) string {
	router, most := "", 0
	for _, p := range a.peers {
		v, ok := p.views[id]
		if p.gone || !ok {
			continue
		}
		w := v.waiting()
		if w > most {
			router, most = p.name, w
		}
	}
	return router
}

// AssumeGranted notes that n slots were given up for the team's requests that wait at
// router, until its next report tells what came of it.
func (a *Accounts) AssumeGranted(router string, id TeamID, n int) {
	if p, ok := a.peerNamed(router); ok {
		if v, ok := p.views[id]; ok {
			v.assumed += n
		}
	}
}

// Outstanding is the number of requests that run and wait at a router, as far as is
// known; "" names this one.
func (a *Accounts) Outstanding(router string) int {
	n := 0
	if router == "" {
		for _, acc := range a.order {
			n += acc.own.Running + acc.own.Waiting
		}
		return n
	}
	if p, ok := a.peerNamed(router); ok && !p.gone {
		for _, v := range p.views {
			n += v.tally.Running + v.tally.Waiting
		}
	}
	return n
}

// AllPeersBacklogged reports whether every live peer has waiting requests of its own
// and so, by the scheduler's invariant, no idle slot to give.
func (a *Accounts) AllPeersBacklogged() bool {
	for _, p := range a.peers {
		if p.gone {
			continue
		}
		waits := false
		for _, v := range p.views {
			waits = waits || v.waiting() > 0
		}
		if !waits {
			return false
		}
	}
	return true
}
