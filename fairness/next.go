package fairness

import (
	"math"
	"time"
)

// Candidate is a backlogged team that may be served next.
type Candidate struct {
	Team TeamID
	// Router is the router where the requests wait; empty for this router.
	Router string
	Key    float64
	// Waiting is the number of requests that wait there.
	Waiting int
}

// NextLocal returns the team with the lowest key among those with requests
// waiting at this router.
func (a *Accounts) NextLocal(now time.Time) (Candidate, bool) {
	best := Candidate{Key: math.Inf(1)}
	found := false
	for _, acc := range a.sorted {
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

// NextRemote returns the team with the lowest key among those with requests
// waiting at other routers. Requests that a slot was already given up for don't
// count.
func (a *Accounts) NextRemote(now time.Time) (Candidate, bool) {
	best := Candidate{Key: math.Inf(1)}
	found := false
	for _, acc := range a.sorted {
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

// longestQueue returns the live router with the most waiting requests of the
// team; ties go to the first router by name.
func (a *Accounts) longestQueue(id TeamID) string {
	router, most := "", 0
	for _, p := range a.peers {
		r, ok := p.reports[id]
		if p.unreachable || !ok {
			continue
		}
		n := r.waiting()
		if n > most {
			router, most = p.name, n
		}
	}
	return router
}

// AssumeGranted records that n slots were given up for the team's requests
// waiting at router. The record holds until that router's next report.
func (a *Accounts) AssumeGranted(router string, id TeamID, n int) {
	if p, ok := a.findPeer(router); ok {
		if r, ok := p.reports[id]; ok {
			r.assumedGrants += n
		}
	}
}

// Outstanding returns the last known number of running and waiting requests at a
// router; "" is this router.
func (a *Accounts) Outstanding(router string) int {
	n := 0
	if router == "" {
		for _, acc := range a.sorted {
			n += acc.own.Running + acc.own.Waiting
		}
		return n
	}
	if p, ok := a.findPeer(router); ok && !p.unreachable {
		for _, r := range p.reports {
			n += r.usage.Running + r.usage.Waiting
		}
	}
	return n
}

// AllPeersBacklogged reports whether every live peer has waiting requests of its
// own and so no idle slot to return: a router uses its idle slots for its own
// waiting requests, or returns them for a team that is further behind.
func (a *Accounts) AllPeersBacklogged() bool {
	for _, p := range a.peers {
		if p.unreachable {
			continue
		}
		backlogged := false
		for _, r := range p.reports {
			backlogged = backlogged || r.waiting() > 0
		}
		if !backlogged {
			return false
		}
	}
	return true
}
