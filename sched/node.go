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

// Node is the decision core of one router. It is not safe for concurrent use:
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
	// startedAt opens the first books; tickedAt tells a pause from a tick.
	startedAt, tickedAt, reportedAt, askedAt time.Time
	// joined is set once a peer's snapshot came, or when nobody has one.
	joined  bool
	leaving bool
	actions []Action
}

// NewNode returns a node that knows no peer and has no settings.
func NewNode(now time.Time, cfg Config) *Node {
	return &Node{
		cfg:       cfg,
		view:      membership.NewView(cfg.Router, cfg.SuspectAfter),
		pools:     map[int]*pool{},
		requests:  map[RequestID]*Request{},
		running:   map[RequestID]*running{},
		links:     map[string]*link{},
		live:      []string{cfg.Router},
		startedAt: now,
		tickedAt:  now,
	}
}

// Actions returns what is to be done since the last call, in order.
func (n *Node) Actions() []Action {
	out := n.actions
	n.actions = nil
	return out
}

func (n *Node) do(a Action) { n.actions = append(n.actions, a) }

// Configure takes in a bundle's settings. Running and waiting requests go on;
// requests that wait for a pool that is gone are refused.
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
	n.rehome(now)
	n.wakeAll(now)
}

func (n *Node) newPool(id int) *pool {
	return &pool{
		id:       id,
		accounts: fairness.NewAccounts(n.cfg.Fairness, n.cfg.MeanCost),
		queue:    fairness.NewQueue[RequestID](),
		interval: n.cfg.MeanCost,
	}
}

func (n *Node) removePool(p *pool) {
	for id, r := range n.requests {
		if r.Pool == p.id {
			delete(n.requests, id)
			n.do(Refuse{Request: id, Reason: NoPool, RetryAfter: minRetryAfter})
		}
	}
	if p.running() == 0 {
		delete(n.pools, p.id)
		return
	}
	p.setUpstreams(n, nil)
	p.queue = fairness.NewQueue[RequestID]()
}

// setUpstreams keeps what is known of upstreams that stay. One that is gone
// stays as leaving until its last request has ended.
func (p *pool) setUpstreams(n *Node, all []Upstream) {
	kept := map[int]*upstream{}
	for _, u := range p.upstreams {
		kept[u.ID] = u
	}
	p.upstreams = nil
	for _, s := range all {
		if s.Pool != p.id {
			continue
		}
		u, ok := kept[s.ID]
		if !ok {
			u = &upstream{holding: lease.NewHolder(s.ID), limit: limits.NewAdaptiveLimit(s.Slots)}
		}
		u.Upstream = s
		u.limit.SetMax(s.Slots)
		p.upstreams = append(p.upstreams, u)
		delete(kept, s.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(kept)) {
		u := kept[id]
		u.Draining = true
		n.dropBook(u)
		if u.holding.InUse() > 0 {
			p.upstreams = append(p.upstreams, u)
		}
	}
}

func (n *Node) dropBook(u *upstream) {
	if u.book == nil {
		return
	}
	n.lastTerm = max(n.lastTerm, u.book.LastTerm())
	u.book = nil
}

// SetList takes in the platform's list of VMs.
func (n *Node) SetList(now time.Time, list []membership.ListedVM) {
	n.view.SetList(list)
	n.refresh(now)
	n.flush(now)
}

// refresh recomputes which routers are live and moves homes if that changed.
func (n *Node) refresh(now time.Time) {
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
	n.unsettleAll()
	n.rehome(now)
	n.wakeAll(now)
}

// rehome finds every upstream's home among the live routers.
func (n *Node) rehome(now time.Time) {
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			n.rehomeOne(now, u)
		}
	}
}

func (n *Node) rehomeOne(now time.Time, u *upstream) {
	home := membership.Home(n.live, upstreamKey(u.ID))
	u.holding.SetHome(home, n.incarnationOf(home))
	if home != n.cfg.Router {
		n.dropBook(u)
		if u.holding.ClaimPending() {
			n.claim(u)
		}
		return
	}
	if u.book != nil {
		return
	}
	u.book = lease.NewTable(u.ID, u.limit.Limit(), n.lastTerm, now.Add(n.openDelay()))
	n.lastTerm++
	n.reportSelf(u)
}

// openDelay is how long a new book stays closed. A router alone in its list has
// nobody whose leases it must wait out.
func (n *Node) openDelay() time.Duration {
	if _, listed := n.view.CountListed(n.tickedAt); listed == 1 {
		return 0
	}
	return n.cfg.LeaseTTL
}

// openBooks opens new books before their time once nobody is left whose slots
// they could miss: every router that is listed or was heard is reachable, and has
// said that it acts by the same live routers and so has claimed what it holds.
// Without this a join or a graceful leave would close slots for a lease time.
func (n *Node) openBooks(now time.Time) {
	for _, name := range n.view.Peers(now) {
		if !n.view.Reachable(now, name) || !n.linkTo(name).settled {
			return
		}
	}
	for _, p := range n.pools {
		for _, u := range p.upstreams {
			if u.book != nil {
				u.book.EndGrace(now)
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

// wakeAll looks again at every pool.
func (n *Node) wakeAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.pools)) {
		n.wake(now, n.pools[id])
	}
}
