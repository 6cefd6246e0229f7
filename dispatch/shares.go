package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// shares keeps what teams asked for and got, as decaying averages, and the
// max-min fair share: the level up to which every team is served in full.
type shares struct {
	window time.Duration
	// capacity is what the upstreams yield, in tokens a second; 0 is not known.
	capacity float64
	teams    map[string]*account
	level    float64
	levelAt  time.Duration
	// got is what all teams together were served within the window.
	got float64
	// startAt is when the first request came.
	startAt time.Duration
	// refusedAt is when a request was last refused for want of room.
	refusedAt time.Duration
}

// account is a team's. Both are sums that decay over the window, in tokens.
type account struct {
	asked, served float64
	at            time.Duration
}

// levelEvery is how often the level is computed anew; it changes with the
// window, which is thirty times longer.
const levelEvery = 100 * time.Millisecond

func newShares(window time.Duration) *shares {
	return &shares{window: window, teams: map[string]*account{}, level: math.Inf(1)}
}

func (s *shares) account(now time.Duration, team string) *account {
	a := s.teams[team]
	if a == nil {
		a = &account{at: now}
		s.teams[team] = a
	}
	s.decay(a, now)
	return a
}

func (s *shares) decay(a *account, now time.Duration) {
	if now <= a.at {
		return
	}
	f := math.Exp(-float64(now-a.at) / float64(s.window))
	a.asked *= f
	a.served *= f
	a.at = now
}

func (s *shares) ask(now time.Duration, team string, tokens float64) {
	if s.startAt == 0 {
		s.startAt = now
	}
	s.account(now, team).asked += tokens
}

func (s *shares) serve(now time.Duration, team string, tokens float64) {
	s.account(now, team).served += tokens
}

func (s *shares) served(team string) float64 {
	if a := s.teams[team]; a != nil {
		return a.served
	}
	return 0
}

// over reports whether a team has had its share.
func (s *shares) over(now time.Duration, team string) bool {
	if now-s.levelAt >= levelEvery {
		s.levelAt = now
		s.compute(now)
	}
	return s.account(now, team).served > s.level
}

// idleAccount is the size below which an account is forgotten, in tokens.
const idleAccount = 1

// compute fills the capacity from the least asking team up (max-min fairness).
func (s *shares) compute(now time.Duration) {
	s.level = math.Inf(1)
	asked := make([]float64, 0, len(s.teams))
	got := make([]float64, 0, len(s.teams))
	for name, a := range s.teams {
		s.decay(a, now)
		if a.asked < idleAccount && a.served < idleAccount {
			delete(s.teams, name)
			continue
		}
		asked = append(asked, a.asked)
		got = append(got, a.served)
	}
	total := sum(asked)
	s.got = sum(got)
	left := s.room(now)
	if total <= left {
		return
	}
	for i, want := range asked {
		share := left / float64(len(asked)-i)
		if want > share {
			s.level = share
			return
		}
		left -= want
	}
}

// saturatedFor is how long after a refusal the upstreams count as full.
const saturatedFor = time.Second

// room is what the upstreams yield within the window: while requests are refused,
// what was served. The figure that operators publish is for a typical mix; with
// warm caches the engines yield more, after a loss less, and a share of the wrong
// total lets large teams take what others are owed.
func (s *shares) room(now time.Duration) float64 {
	if s.refusedAt == 0 || now-s.refusedAt >= saturatedFor {
		return math.Inf(1)
	}
	known := 1 - math.Exp(-float64(now-s.startAt)/float64(s.window))
	return max(s.got, leastYield*s.capacity*s.window.Seconds()*known)
}

// leastYield is the part of the published yield that is taken for granted. A
// share of what was served alone can collapse: refusals lower what is served,
// which lowers the share, which brings more refusals; a new home would start
// from nothing and refuse all.
const leastYield = 0.6

// sum sorts and adds. Teams come in no order, and a sum of floats depends on it:
// the same load would not always give the same decisions.
func sum(all []float64) float64 {
	slices.SortFunc(all, cmp.Compare[float64])
	total := 0.0
	for _, x := range all {
		total += x
	}
	return total
}
