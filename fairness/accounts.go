package fairness

import (
	"math"
	"slices"
	"strings"
	"time"
)

// costWeight is the weight of a new sample in the exponential moving average of
// the cost, which covers the last few hundred requests. A shorter window follows
// the noise of heavy-tailed costs, and the routers' keys drift apart.
const costWeight = 0.002

// account is one team in one pool.
type account struct {
	id    TeamID
	share float64
	// base is the service of incarnations that have ended.
	base float64
	// lift is credit that raises a returning team to the floor, less its lag, or
	// a lagging team to within MaxLag of the best served one (see Activate and
	// ClampLag). The floor is the lowest normalized service among the other
	// backlogged teams (see Accounts.floor). Routers merge lifts by maximum, so
	// that the lifts of two routers at the same time don't add up.
	lift float64
	// lag is how far the team was behind the floor when its queue here last
	// emptied.
	lag float64
	own Usage
	// startSum is the sum of the start times of the running requests at this
	// router, in seconds since the epoch of Accounts. It gives the total time
	// that they have run in one subtraction.
	startSum float64
	// lastReport is what was last reported to the peers.
	lastReport   reportedUsage
	reportedLift float64
	// advertised is the number of waiting requests last reported to the peers,
	// lowered to the current queue length when slots arrive.
	advertised int
}

// Accounts holds the fleet's service by team in one pool, as one router sees it.
//
// Invariant: a team's total is base plus the router's own service plus one
// report for each other router, and the service of each incarnation is counted
// in exactly one of these.
type Accounts struct {
	cfg    Config
	teams  map[TeamID]*account
	sorted []*account
	// peers are sorted by name, so that floating-point sums are the same in
	// every run.
	peers []*peer
	// meanCost is learned from requests that ended here, in slot seconds.
	meanCost float64
	samples  int
	// virtualTime is the highest normalized service of any team that was served,
	// as in start-time fair queueing.
	virtualTime float64
	// epoch is the reference time of startSum.
	epoch time.Time
}

// NewAccounts returns empty accounts. meanCost, in slot seconds, is the initial
// estimate of the cost of a request.
func NewAccounts(cfg Config, meanCost float64) *Accounts {
	return &Accounts{
		cfg:      cfg,
		teams:    map[TeamID]*account{},
		meanCost: meanCost,
	}
}

// SetShare adds a team or changes its share. Shares must be positive.
func (a *Accounts) SetShare(id TeamID, share float64) {
	if acc, ok := a.teams[id]; ok {
		acc.share = share
		return
	}
	acc := &account{id: id, share: share}
	a.teams[id] = acc
	a.sorted = append(a.sorted, acc)
	slices.SortFunc(a.sorted, func(x, y *account) int { return int(x.id - y.id) })
}

// MeanCost returns the learned mean cost of a request, in slot seconds.
func (a *Accounts) MeanCost() float64 { return a.meanCost }

// precharge is the charge in advance for a running request, in slot seconds.
func (a *Accounts) precharge() float64 { return a.cfg.PrechargeRatio * a.meanCost }

// Start records that a request was sent to an upstream.
func (a *Accounts) Start(now time.Time, id TeamID) {
	acc := a.teams[id]
	a.virtualTime = max(a.virtualTime, a.normalizedService(now, acc))
	acc.own.Running++
	acc.startSum += a.sinceEpoch(now)
}

// End charges a request that ended for the time it held its slot.
func (a *Accounts) End(now time.Time, id TeamID, started time.Time) {
	acc := a.teams[id]
	acc.own.Service += now.Sub(started).Seconds()
	acc.own.Running--
	acc.startSum -= a.sinceEpoch(started)
}

// ObserveCost adds the duration of a completed request to the mean cost. The
// first requests have a higher weight, so that a wrong initial estimate is soon
// corrected.
func (a *Accounts) ObserveCost(duration time.Duration) {
	a.samples++
	weight := max(costWeight, 1/float64(a.samples+1))
	a.meanCost += weight * (duration.Seconds() - a.meanCost)
}

// sinceEpoch returns the seconds since the epoch, which the first call sets to
// now.
func (a *Accounts) sinceEpoch(now time.Time) float64 {
	if a.epoch.IsZero() {
		a.epoch = now
	}
	return now.Sub(a.epoch).Seconds()
}

// ownService is this router's service to the team, including that of running
// requests.
func (a *Accounts) ownService(now time.Time, acc *account) float64 {
	uncharged := float64(acc.own.Running)*a.sinceEpoch(now) - acc.startSum
	return acc.own.Service + max(uncharged, 0)
}

// normalizedService is the team's service over the fleet, lift included, divided
// by its share. The scheduler keeps it nearly equal among backlogged teams.
func (a *Accounts) normalizedService(now time.Time, acc *account) float64 {
	service, _ := a.fleetTotals(now, acc)
	return service / acc.share
}

// key is the normalized service with running requests charged in advance; the
// team with the lowest key is served next. Without the precharge, a team that is
// behind would take every slot until its charges catch up.
func (a *Accounts) key(now time.Time, acc *account) float64 {
	service, running := a.fleetTotals(now, acc)
	return (service + float64(running)*a.precharge()) / acc.share
}

// fleetTotals returns the team's service and running requests over the fleet.
func (a *Accounts) fleetTotals(now time.Time, acc *account) (service float64, running int) {
	service = acc.base + acc.lift + a.ownService(now, acc)
	running = acc.own.Running
	for _, p := range a.peers {
		r, ok := p.reports[acc.id]
		if !ok {
			continue
		}
		if p.unreachable {
			service += r.usage.Service
			continue
		}
		service += r.serviceAt(now, a.cfg.MaxExtrapolation)
		running += r.usage.Running + min(r.assumedGrants, r.usage.Waiting)
	}
	return service, running
}

// Key returns the team's scheduling key, its weighted service over the fleet in
// slot seconds per unit of share. It is infinite for a team that is not in the
// bundle.
func (a *Accounts) Key(now time.Time, id TeamID) float64 {
	acc, ok := a.teams[id]
	if !ok {
		return math.Inf(1)
	}
	return a.key(now, acc)
}

// findPeer returns the reports of a router.
func (a *Accounts) findPeer(name string) (*peer, bool) {
	i, ok := slices.BinarySearchFunc(a.peers, name, func(p *peer, name string) int {
		return strings.Compare(p.name, name)
	})
	if !ok {
		return nil, false
	}
	return a.peers[i], true
}

// remoteWaiting returns the number of the team's requests that wait at other
// routers.
func (a *Accounts) remoteWaiting(id TeamID) int {
	n := 0
	for _, p := range a.peers {
		if p.unreachable {
			continue
		}
		if r, ok := p.reports[id]; ok {
			n += r.waiting()
		}
	}
	return n
}
