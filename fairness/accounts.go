package fairness

import (
	"math"
	"slices"
	"strings"
	"time"
)

// costWindow is the weight of one more request in the learned mean cost: an
// exponential average over the last few hundred. Shorter windows follow the noise of heavy-tailed costs, and routers' keys drift apart.
const costWindow = 0.002

// account is one team in one pool.
type account struct {
	id    TeamID
	share float64
	// base is the service of incarnations that have ended.
	base float64
	// lift is credit that takes a returning or lagging team to the floor. It is
	// merged over routers by maximum, so two routers that lift at once don't add up.
	lift float64
	// lag is how far the team was behind the floor when it last ceased to wait here.
	lag float64
	own Usage
	// pending is the sum over own running requests of when each started, in
	// seconds since the epoch of Accounts. It gives the time that all of them
	// have run in one subtraction.
	pending float64
	// sent is what the peers were last told.
	sent     view
	sentLift float64
	// asked is for how many waiting requests the peers were told, less those that
	// slots came for since.
	asked int
}

// Accounts is the fleet's service by team in one pool, as one router sees it.
//
// Invariant: a team's total is base plus the router's own service plus one view
// for each other router, and no incarnation's service is in two of these.
type Accounts struct {
	cfg   Config
	teams map[TeamID]*account
	order []*account
	// peers are sorted by name, so that sums add up alike in every run.
	peers []*peer
	// meanCost is learned from requests that ended here, in slot seconds.
	meanCost float64
	learned  int
	// virtualTime is the level of the team served last, as in start-time fair
	// queueing.
	virtualTime float64
	// epoch is the time that pending sums count from.
	epoch time.Time
}

// NewAccounts returns empty accounts. meanCost (slot seconds) holds until
// requests have ended.
func NewAccounts(cfg Config, meanCost float64) *Accounts {
	return &Accounts{
		cfg:      cfg,
		teams:    map[TeamID]*account{},
		meanCost: meanCost,
	}
}

// SetShare adds a team or changes what it is owed. Shares must be positive.
func (a *Accounts) SetShare(id TeamID, share float64) {
	if acc, ok := a.teams[id]; ok {
		acc.share = share
		return
	}
	acc := &account{id: id, share: share}
	a.teams[id] = acc
	a.order = append(a.order, acc)
	slices.SortFunc(a.order, func(x, y *account) int { return int(x.id - y.id) })
}

// MeanCost is the learned cost of a request, in slot seconds.
func (a *Accounts) MeanCost() float64 { return a.meanCost }

// residual is what a running request is charged ahead, in slot seconds.
func (a *Accounts) residual() float64 { return a.cfg.PrechargeRatio * a.meanCost }

// Start notes that a request was sent to an upstream.
func (a *Accounts) Start(now time.Time, id TeamID) {
	acc := a.teams[id]
	a.virtualTime = max(a.virtualTime, a.level(now, acc))
	acc.own.Running++
	acc.pending += a.seconds(now)
}

// End charges a request that ended for the time it held its slot.
func (a *Accounts) End(now time.Time, id TeamID, started time.Time) {
	acc := a.teams[id]
	acc.own.Service += now.Sub(started).Seconds()
	acc.own.Running--
	acc.pending -= a.seconds(started)
}

// ObserveCost takes a whole request into the mean cost. The first requests weigh more,
// so that an assumed mean that is far off is soon forgotten.
func (a *Accounts) ObserveCost(took time.Duration) {
	a.learned++
	weight := max(costWindow, 1/float64(a.learned+1))
	a.meanCost += weight * (took.Seconds() - a.meanCost)
}

// seconds is the time since the epoch, which begins with the first request.
func (a *Accounts) seconds(now time.Time) float64 {
	if a.epoch.IsZero() {
		a.epoch = now
	}
	return now.Sub(a.epoch).Seconds()
}

// ownService is the own service including what runs.
func (a *Accounts) ownService(now time.Time, acc *account) float64 {
	uncharged := float64(acc.own.Running)*a.seconds(now) - acc.pending
	return acc.own.Service + max(uncharged, 0)
}

// level is the team's weighted service over the fleet, lifts included. Levels of
// teams that wait are what fairness keeps together.
func (a *Accounts) level(now time.Time, acc *account) float64 {
	sum, _ := a.sum(now, acc)
	return sum / acc.share
}

// key is the level with the running requests charged ahead: the least goes next.
// Charging ahead is what keeps a team that is behind from taking every slot
// until its charges catch up.
func (a *Accounts) key(now time.Time, acc *account) float64 {
	sum, running := a.sum(now, acc)
	return (sum + float64(running)*a.residual()) / acc.share
}

// sum adds the team's service and running requests over the fleet.
func (a *Accounts) sum(now time.Time, acc *account) (service float64, running int) {
	service = acc.base + acc.lift + a.ownService(now, acc)
	running = acc.own.Running
	for _, p := range a.peers {
		v, ok := p.views[acc.id]
		if !ok {
			continue
		}
		if p.gone {
			service += v.tally.Service
			continue
		}
		service += v.service(now, a.cfg.MaxExtrapolation)
		running += v.tally.Running + min(v.assumed, v.tally.Waiting)
	}
	return service, running
}

// Key is the team's weighted service over the fleet in slot seconds per unit
// of share. It is infinite for a team that is not in the bundle.
func (a *Accounts) Key(now time.Time, id TeamID) float64 {
	acc, ok := a.teams[id]
	if !ok {
		return math.Inf(1)
	}
	return a.key(now, acc)
}

// peerNamed finds the views of a router.
func (a *Accounts) peerNamed(name string) (*peer, bool) {
	i, ok := slices.BinarySearchFunc(a.peers, name, func(p *peer, name string) int {
		return strings.Compare(p.name, name)
	})
	if !ok {
		return nil, false
	}
	return a.peers[i], true
}

// remoteWaiting is the number of the team's requests that wait at other routers.
func (a *Accounts) remoteWaiting(id TeamID) int {
	n := 0
	for _, p := range a.peers {
		if p.gone {
			continue
		}
		if v, ok := p.views[id]; ok {
			n += v.waiting()
		}
	}
	return n
}
