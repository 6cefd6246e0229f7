package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// shares holds the demand and usage of teams as decaying sums, and the max-min fair share:
// the usage up to which every team is served in full.
type shares struct {
	window time.Duration
	// capacity is the throughput of the upstreams in tokens per second, or 0 if unknown.
	capacity float64
	accounts map[string]*account
	// fairShare is a team's share of the whole fleet, and groupShare its share of this
	// group's engines alone.
	fairShare, groupShare float64
	updatedAt             time.Duration
	// maxUsage is the usage that no team may exceed while another one waits for service,
	// leastServed the waiting teams that it was computed from.
	maxUsage    Usage
	leastServed leastServedTeams
	// totalServed is what all teams together were served within the window.
	totalServed float64
	// utilization is the fraction of time in which the upstreams had a backlog.
	utilization float64
	// firstRequestAt is the first request of the span that the sums have been collected over,
	// lastRequestAt the last one.
	firstRequestAt, lastRequestAt time.Duration
	// lastRefusalAt is when this core last refused a request, for any reason.
	lastRefusalAt time.Duration
}

// shareUpdateInterval is the time between updates of the shares, which change over the
// share window, thirty times as long.
const shareUpdateInterval = 100 * time.Millisecond

func newShares(window time.Duration) *shares {
	return &shares{window: window, accounts: map[string]*account{}, fairShare: math.Inf(1), groupShare: math.Inf(1), maxUsage: Usage{math.Inf(1), math.Inf(1)}}
}

func (s *shares) account(now time.Duration, team string) *account {
	a := s.accounts[team]
	if a == nil {
		a = &account{updatedAt: now}
		s.accounts[team] = a
	}
	a.decay(now, s.span())
	return a
}

// idleWindows is the number of share windows without a request after which a core starts to
// collect its sums anew. A router that becomes the home of a group may have decided on single
// requests before.
const idleWindows = 2

// addRequested records tokens that a router requests for a team.
func (s *shares) addRequested(now time.Duration, router uint64, team string, tokens float64) {
	if s.firstRequestAt == 0 || now-s.lastRequestAt > idleWindows*s.window {
		s.firstRequestAt = now
		for _, a := range s.accounts {
			a.requested, a.served, a.recent = 0, 0, 0
		}
	}
	s.lastRequestAt = now
	s.account(now, team).addRequested(now, s.span(), router, tokens)
}

func (s *shares) addServed(now time.Duration, team string, tokens float64) {
	s.account(now, team).addServed(now, s.span(), tokens)
}

// withdraw removes the tokens of a request that another group serves from the team's demand.
func (s *shares) withdraw(now time.Duration, j *job) {
	a := s.account(now, j.Team)
	a.requested = max(a.requested-j.chargedTokens/s.span().coverage(now, s.window), 0)
}

// refund removes the tokens of a request that didn't run from the team's served tokens; its
// demand is kept. If a reply is late, routers submit the request to several homes and each
// counts it as served; without a refund the team would be limited to a part of its share.
func (s *shares) refund(now time.Duration, j *job) {
	s.account(now, j.Team).refund(now, now-j.sentAt, s.span(), j.chargedTokens)
}

func (s *shares) recordRefusal(now time.Duration, team string) {
	s.account(now, team).lastRefusalAt = now
}

// teamUsage returns what a team got within the window from all homes.
func (s *shares) teamUsage(team string) float64 {
	if a := s.accounts[team]; a != nil {
		return a.total()
	}
	return 0
}

func (s *shares) refresh(now time.Duration) {
	if now-s.updatedAt >= shareUpdateInterval {
		s.updatedAt = now
		s.computeShares(now)
		s.maxUsage, s.leastServed = s.computeMaxUsage(now)
	}
}

const (
	// maxUsageRatio is the maximum ratio between the usage of a team and that of the least
	// served waiting team. Teams compare what they get over six seconds and consider less
	// than half of another team's tokens unfair, that is a ratio above 2.
	maxUsageRatio = 1.6
	// waitingPeriod is how long after a refusal a team counts as waiting for service.
	waitingPeriod = time.Second
	// waitingServedFraction is the fraction of its demand below which a team with a
	// refused request counts as waiting. A single refused request is not enough.
	waitingServedFraction = 0.6
)

// leastServedTeams are the waiting teams with the lowest usage of each window.
type leastServedTeams struct{ window, recent string }

// computeMaxUsage returns the maximum usage of a team and the teams that determine it.
//
// A team may be delayed before its requests reach a home, for instance if all its callers
// use one overloaded router. Without a maximum, its unused share would go to any other
// team: others got four times as much, over six seconds of a day with three floods. Spare
// capacity would go to the team with the most requests: one team got 1.5 million tokens
// per second while another with the same demand got 0.65 million. Up to the max-min fair
// share no team is limited.
func (s *shares) computeMaxUsage(now time.Duration) (Usage, leastServedTeams) {
	lowest := Usage{Window: math.Inf(1), Recent: math.Inf(1)}
	var teams leastServedTeams
	for name, a := range s.accounts {
		a.decay(now, s.span())
		if !s.isWaiting(now, a) {
			continue
		}
		if u := a.total(); u < lowest.Window {
			lowest.Window, teams.window = u, name
		}
		if u := a.totalRecent(); u < lowest.Recent {
			lowest.Recent, teams.recent = u, name
		}
	}
	return Usage{
		Window: max(maxUsageRatio*lowest.Window, s.fairShare),
		Recent: max(maxUsageRatio*lowest.Recent, maxFairRate*s.rate(s.fairShare)),
	}, teams
}

// isWaiting reports whether a team waits for service: a request was refused, and the team
// got much less than it requested.
func (s *shares) isWaiting(now time.Duration, a *account) bool {
	return a.lastRefusalAt != 0 && now-a.lastRefusalAt <= waitingPeriod && a.served < waitingServedFraction*a.requested
}

// rate returns the part of a share that falls within rateWindow.
func (s *shares) rate(share float64) float64 {
	return share * float64(rateWindow) / float64(s.window)
}

// exceedsMaxUsage reports whether a team must leave spare capacity to others. The least served
// team isn't compared with its own usage of the last update: in the first moments of load that
// doubles within shareUpdateInterval.
func (s *shares) exceedsMaxUsage(now time.Duration, team string) bool {
	s.refresh(now)
	a := s.account(now, team)
	return a.total() > s.maxUsage.Window && team != s.leastServed.window ||
		a.totalRecent() > s.maxUsage.Recent && team != s.leastServed.recent
}

// minAccountTokens is the number of tokens below which usage is dropped: an account is
// deleted once both its requested and its served tokens are below it, and usage reports and
// the demand of routers are dropped below it as well.
const minAccountTokens = 1

// computeShares updates the max-min fair shares and deletes idle accounts.
func (s *shares) computeShares(now time.Duration) {
	demands := make([]demand, 0, len(s.accounts))
	local := make([]demand, 0, len(s.accounts))
	served := make([]float64, 0, len(s.accounts))
	for name, a := range s.accounts {
		a.decay(now, s.span())
		if a.requested < minAccountTokens && a.served < minAccountTokens {
			delete(s.accounts, name)
			continue
		}
		demands = append(demands, demand{requested: a.requested, remote: a.remote.Window})
		local = append(local, demand{requested: a.requested})
		served = append(served, a.served)
	}
	s.totalServed = sortedSum(served)
	capacity := s.availableCapacity(now)
	s.fairShare = maxMinShare(demands, capacity)
	s.groupShare = maxMinShare(local, capacity)
}

// saturationPeriod is how long after a refusal the upstreams count as saturated.
const saturationPeriod = time.Second

// availableCapacity returns the tokens that the upstreams can serve within the window:
// what they served, extrapolated to the time in which they had no backlog. A share
// computed from the served tokens alone collapses: refusals reduce what is served, which
// reduces the share, which causes more refusals while engines are idle. The throughput
// that operators publish is for a typical mix; when more of the prompts is cached the
// engines serve more, after a loss of engines less.
func (s *shares) availableCapacity(now time.Duration) float64 {
	if s.lastRefusalAt == 0 || now-s.lastRefusalAt >= saturationPeriod {
		return math.Inf(1)
	}
	floor := minCapacityFraction * s.capacity * s.window.Seconds()
	return max(s.totalServed*max(fullUtilization/max(s.utilization, minUtilization), 1), floor)
}

// span returns the time over which the sums have been collected.
func (s *shares) span() span { return span{window: s.window, start: s.firstRequestAt} }

const (
	// fullUtilization is the utilization from which on no further capacity is assumed.
	// Sessions wait for the engine that has their parts cached while other engines are
	// idle; with 0.85 large teams were admitted where small ones were refused (the value
	// of small teams' answers fell from 0.914 to 0.885 over six seeds of a simulation with
	// increased load).
	fullUtilization = 0.5
	// minUtilization bounds the extrapolation from a short history.
	minUtilization = 0.2
)

// minCapacityFraction is the fraction of the published throughput that is always assumed.
// A share computed from the served tokens alone can collapse: refusals reduce what is
// served, which reduces the share, which causes more refusals. A new home would start from
// zero and refuse all requests.
const minCapacityFraction = 0.6

// sortedSum returns the sum of the values, added in ascending order. Maps iterate in
// random order and floating-point addition depends on the order; without sorting, the same
// load could lead to different decisions.
func sortedSum(values []float64) float64 {
	slices.SortFunc(values, cmp.Compare[float64])
	total := 0.0
	for _, x := range values {
		total += x
	}
	return total
}
