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
	// level is what a team may have of the whole fleet, even what an even division of
	// this group's engines would give it.
	level, even float64
	levelAt     time.Duration
	// most is what a team may have at most, and lately, while another waits for more.
	most Usage
	// got is what all teams together were served within the window.
	got float64
	// use is the part of the time in which the upstreams had unread work.
	use float64
	// startAt is when the first request came.
	startAt time.Duration
	// refusedAt is when a request was last refused for want of room.
	refusedAt time.Duration
}

// levelEvery is how often the level is computed anew; it changes with the
// window, which is thirty times longer.
const levelEvery = 100 * time.Millisecond

func newShares(window time.Duration) *shares {
	return &shares{window: window, teams: map[string]*account{}, level: math.Inf(1), even: math.Inf(1), most: Usage{math.Inf(1), math.Inf(1)}}
}

func (s *shares) account(now time.Duration, team string) *account {
	a := s.teams[team]
	if a == nil {
		a = &account{at: now}
		s.teams[team] = a
	}
	a.decay(now, s.window)
	return a
}

// ask notes what a router asks for a team.
func (s *shares) ask(now time.Duration, router uint64, team string, tokens float64) {
	if s.startAt == 0 {
		s.startAt = now
	}
	s.account(now, team).ask(now, s.window, router, tokens)
}

func (s *shares) serve(now time.Duration, team string, tokens float64) {
	s.account(now, team).serve(tokens)
}

// giveBack takes back what a team was charged for a request that didn't run. Routers ask
// several homes for a request whose answer is late, and each charges it: a team would be
// held to a part of its share.
func (s *shares) giveBack(now time.Duration, j *job) {
	s.account(now, j.Team).giveBack(now-j.sentAt, s.window, j.tokens)
}

func (s *shares) refused(now time.Duration, team string) {
	s.account(now, team).refusedAt = now
}

// served is what a team got within the window from all homes.
func (s *shares) served(team string) float64 {
	if a := s.teams[team]; a != nil {
		return a.total()
	}
	return 0
}

func (s *shares) refresh(now time.Duration) {
	if now-s.levelAt >= levelEvery {
		s.levelAt = now
		s.compute(now)
		s.most = s.mostOf(now)
	}
}

const (
	// mostTimes is how many times as much as the least served of the teams that wait
	// another may have. Users call it unfair from twice as much on.
	mostTimes = 1.6
	// waitsFor is how long after a refusal a team counts as waiting for service.
	waitsFor = time.Second
	// waitsPart is the part of what it asked for below which a team that was refused
	// waits for more: a single request that was refused is none of that.
	waitsPart = 0.6
)

// mostOf returns what a team may have at most.
//
// A team may be held up before its requests reach a home: its callers all meet one
// router that can take no more. What it leaves would go to whoever else asks, and
// others had four times as much (measured over six seconds of a day with three
// floods). So would what is spare to whoever asks most often: a team had 1.5 million
// tokens a second beside one with 0.65 that had asked for as much. Up to the max-min level
// nobody is held back.
func (s *shares) mostOf(now time.Duration) Usage {
	least := Usage{Window: math.Inf(1), Recent: math.Inf(1)}
	for _, a := range s.teams {
		a.decay(now, s.window)
		if !s.waits(now, a) {
			continue
		}
		least.Window = min(least.Window, a.total())
		least.Recent = min(least.Recent, a.totalLately())
	}
	return Usage{
		Window: max(mostTimes*least.Window, s.level),
		Recent: max(mostTimes*least.Recent, mostRate*s.rate(s.level)),
	}
}

// waits reports whether a team waits for more: it was refused, and got much less than it
// asked.
func (s *shares) waits(now time.Duration, a *account) bool {
	return a.refusedAt != 0 && now-a.refusedAt <= waitsFor && a.served < waitsPart*a.asked
}

// rate is what of a level falls into rateWindow.
func (s *shares) rate(level float64) float64 {
	return level * float64(rateWindow) / float64(s.window)
}

// tooMuch reports whether a team must leave what is spare to others.
func (s *shares) tooMuch(now time.Duration, team string) bool {
	s.refresh(now)
	a := s.account(now, team)
	return a.total() > s.most.Window || a.totalLately() > s.most.Recent
}

// idleAccount is the size below which an account is forgotten, in tokens.
const idleAccount = 1

// compute fills the room from the least served team up.
func (s *shares) compute(now time.Duration) {
	demands := make([]demand, 0, len(s.teams))
	here := make([]demand, 0, len(s.teams))
	got := make([]float64, 0, len(s.teams))
	for name, a := range s.teams {
		a.decay(now, s.window)
		if a.asked < idleAccount && a.served < idleAccount {
			delete(s.teams, name)
			continue
		}
		demands = append(demands, demand{asked: a.asked, elsewhere: a.elsewhere.Window})
		here = append(here, demand{asked: a.asked})
		got = append(got, a.served)
	}
	s.got = sum(got)
	room := s.room(now)
	s.level = waterLevel(demands, room)
	s.even = waterLevel(here, room)
}

// saturatedFor is how long after a refusal the upstreams count as full.
const saturatedFor = time.Second

// room is what the upstreams can yield within the window: what was served, and the
// same for the time in which they had nothing to read. Without the second a share of
// what was served collapses: refusals lower what is served, which lowers the share,
// which brings more refusals, while engines are idle. The figure that operators
// publish is for a typical mix; with warm caches the engines yield more, after a loss
// less.
func (s *shares) room(now time.Duration) float64 {
	if s.refusedAt == 0 || now-s.refusedAt >= saturatedFor {
		return math.Inf(1)
	}
	least := leastYield * s.capacity * s.window.Seconds() * s.known(now, s.window)
	return max(s.got*max(fullUse/max(s.use, leastUse), 1), least)
}

// known is the part of a decaying average over a window that the time since the
// first request can have filled.
func (s *shares) known(now, window time.Duration) float64 {
	const least = 0.01
	return max(1-math.Exp(-float64(now-s.startAt)/float64(window)), least)
}

const (
	// fullUse is the part of the time in which engines have unread work from which on
	// no more is made of the rest. Where sessions wait for the engine that keeps
	// their parts, others are idle meanwhile; taking 0.85 for full let large teams in
	// where small ones were refused (small teams' worth 0.914 to 0.885 over six
	// seeds of the grown load).
	fullUse = 0.5
	// leastUse bounds what is made of a short past.
	leastUse = 0.2
)

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
