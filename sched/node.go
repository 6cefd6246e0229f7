package sched

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/lease"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/membership"
)

// Node is the scheduling core of one router. It is not safe for concurrent use:
// the control goroutine owns it.
type Node struct {
	cfg      Config
	view     *membership.View
	pools    map[int]*pool
	requests map[RequestID]*Request
	running  map[RequestID]*running
	links    map[string]*link
	live     []string
	liveHash uint32
	lastTerm uint64
	// startedAt bounds the wait for a snapshot; lastTickAt is used to detect a
	// pause of the process.
	startedAt, lastTickAt, lastReportAt, lastSlotRequestAt time.Time
	// joined is set once a peer's snapshot was applied, or when no peer has one.
	joined   bool
	draining bool
	actions  []Action
}

// NewNode returns a node without peers and settings.
func NewNode(now time.Time, cfg Config) *Node {
	return &Node{
		cfg:        cfg,
		view:       membership.NewView(cfg.Router, cfg.SuspectAfter),
		pools:      map[int]*pool{},
		requests:   map[RequestID]*Request{},
		running:    map[RequestID]*running{},
		links:      map[string]*link{},
		live:       []string{cfg.Router},
		startedAt:  now,
		lastTickAt: now,
	}
}

// Actions returns the actions since the last call, in order.
func (n *Node) Actions() []Action {
	out := n.actions
	n.actions = nil
	return out
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// Configure applies the settings of a bundle. Running and waiting requests are
// kept; requests that wait for a removed pool are refused.
func (n *Node) Configure(now time.Time, s Settings) {
	for _, id := range s.Pools {
		p, ok := n.pools[id]
		if !ok {
			p = n.newPool(id)
			n.pools[id] = p
		}
		for _, t := range s.Teams {
			p.accounts.SetShare(t.Team, t.Share)
		}
	}
	for id, p := range n.pools {
		if !slices.Contains(s.Pools, id) {
			n.removePool(p)
			continue
		}
		p.setUpstreams(n, s.Upstreams)
	}
	n.assignHomes(now)
	n.scheduleAll(now)
}

func (n *Node) newPool(id int) *pool {
	return &pool{
		id:             id,
		accounts:       fairness.NewAccounts(n.cfg.Fairness, n.cfg.MeanCost),
		queue:          fairness.NewQueue[RequestID](),
		finishInterval: n.cfg.MeanCost,
	}
}

func (n *Node) removePool(p *pool) {
	for id, r := range n.requests {
		if r.Pool == p.id {
			delete(n.requests, id)
			n.emit(Refuse{Request: id, Reason: NoPool, RetryAfter: minRetryAfter})
		}
	}
	if p.running() == 0 {
		delete(n.pools, p.id)
		return
	}
	p.setUpstreams(n, nil)
	p.queue = fairness.NewQueue[RequestID]()
}

// setUpstreams updates the upstreams of the pool and keeps the state of those
// that remain. A removed upstream stays as draining until its last request has
// ended.
func (p *pool) setUpstreams(n *Node, all []Upstream) {
	remaining := map[int]*upstream{}
	for _, u := range p.upstreams {
		remaining[u.ID] = u
	}
	p.upstreams = nil
	for _, s := range all {
		if s.Pool != p.id {
			continue
		}
		u, ok := remaining[s.ID]
		if !ok {
			u = &upstream{holder: lease.NewHolder(s.ID), limit: limits.NewAdaptiveLimit(s.Slots)}
		}
		u.Upstream = s
		u.limit.SetMax(s.Slots)
		p.upstreams = append(p.upstreams, u)
		delete(remaining, s.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(remaining)) {
		u := remaining[id]
		u.Draining = true
		n.dropTable(u)
		if u.holder.InUse() > 0 {
			p.upstreams = append(p.upstreams, u)
		}
	}
}

func (n *Node) dropTable(u *upstream) {
	if u.table == nil {
		return
	}
	n.lastTerm = max(n.lastTerm, u.table.LastTerm())
	u.table = nil
}

// SetList applies the platform's list of VMs.
func (n *Node) SetList(now time.Time, list []membership.ListedVM) {
	n.view.SetList(list)
	n.refreshLive(now)
	n.flush(now)
}

// refreshLive recomputes which routers are live and reassigns homes if that
// changed.
func (n *Node) refreshLive(now time.Time) {
	for name := range n.links {
		reachable := n.view.Reachable(now, name)
		for _, p := range n.pools {
			p.accounts.SetUnreachable(name, !reachable)
		}
	}
	live := n.view.Live(now)
	if slices.Equal(live, n.live) {
		return
	}
	n.live = live
	n.liveHash = uint32(xxhash.Sum64String(strings.Join(live, " "))) | 1
	n.resetConvergenceAll()
	n.assignHomes(now)
	n.scheduleAll(now)
}

// assignHomes selects every upstream's home among the live routers.
func (n *Node) assignHomes(now time.Time) {
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			n.assignHome(now, u)
		}
	}
}

func (n *Node) assignHome(now time.Time, u *upstream) {
	home := membership.Home(n.live, upstreamKey(u.ID))
	u.holder.SetHome(home, n.incarnationOf(home))
	if home != n.cfg.Router {
		n.dropTable(u)
		if u.holder.ClaimPending() {
			n.queueClaim(u)
		}
		return
	}
	if u.table != nil {
		return
	}
	u.table = lease.NewTable(u.ID, u.limit.Limit(), n.lastTerm, now.Add(n.gracePeriod()))
	n.lastTerm++
	n.reportLocal(u)
}

// gracePeriod is the grace period of a new lease table. It is zero if this
// router is the only listed one, since no other router can hold a lease.
func (n *Node) gracePeriod() time.Duration {
	if _, listed := n.view.CountListed(n.lastTickAt); listed == 1 {
		return 0
	}
	return n.cfg.LeaseTTL
}

// endGracePeriods ends the grace periods of new tables early once no router can
// hold slots that they don't count: every router that is listed or sent a
// message is reachable and has confirmed that it uses the same live routers, and
// so has claimed the slots that it holds. Without it, a router that joins or
// drains would make slots unavailable for a lease time.
func (n *Node) endGracePeriods(now time.Time) {
	for _, name := range n.view.Peers(now) {
		if !n.view.Reachable(now, name) || !n.linkTo(name).converged {
			return
		}
	}
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.table != nil {
				u.table.EndGrace(now)
			}
		}
	}
}

func (n *Node) incarnationOf(name string) uint64 {
	if name == n.cfg.Router {
		return n.cfg.Incarnation
	}
	return n.view.Incarnation(name)
}

func upstreamKey(id int) string { return "upstream/" + strconv.Itoa(id) }

func (n *Node) upstreamOf(p *pool, id int) *upstream {
	for _, u := range p.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// scheduleAll uses the idle slots of every pool.
func (n *Node) scheduleAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		n.schedule(now, n.pools[id])
	}
}
