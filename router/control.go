package router

import (
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/idempotency"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/sched"
)

// control is the state that the control goroutine owns.
type control struct {
	r        *Router
	node     *sched.Node
	acceptor *bundle.Acceptor
	voter    *idempotency.Voter
	answers  *idempotency.RecordStore
	waiters  map[sched.RequestID]*waiter
	list     []membership.ListedVM
	// held is the latest verified bundle; view is the one in force.
	held    *offered
	view    *view
	told    map[string]tell
	fetched map[string]bundle.VersionID
	leaving bool
}

// tell is the last word on the bundle that a peer got.
type tell struct {
	mark        bundle.VersionID
	incarnation uint64
	at          time.Time
}

// retellEvery repeats the mark of the bundle to every peer, in case a
// notification was lost.
const retellEvery = 5 * time.Second

func newControl(r *Router, now time.Time) *control {
	return &control{
		r:        r,
		node:     sched.NewNode(now, r.cfg.Scheduler),
		acceptor: bundle.NewAcceptor(r.cfg.Name),
		voter:    idempotency.NewVoter(r.cfg.Idempotency, r.started),
		answers:  idempotency.NewRecordStore(r.cfg.Idempotency),
		waiters:  map[sched.RequestID]*waiter{},
		told:     map[string]tell{},
		fetched:  map[string]bundle.VersionID{},
	}
}

// run is the control goroutine.
func (c *control) run(stop <-chan struct{}) {
	ticker := time.NewTicker(c.r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case m := <-c.r.messages:
			m.apply(c, time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.act()
	}
}

func (c *control) tick(now time.Time) {
	c.node.Tick(now)
	c.tellMark(now)
}

// act carries out what the core decided.
func (c *control) act() {
	for _, a := range c.node.Actions() {
		switch a := a.(type) {
		case sched.Dispatch:
			c.dispatch(a)
		case sched.Refuse:
			c.answer(a.Request, grant{refusal: &Refusal{Reason: a.Reason, RetryAfter: a.RetryAfter}})
		case sched.Send:
			c.r.mesh.Notify(a.To, methodSync, a.Sync)
		case sched.Redial:
			c.r.log.Info().Str("peer", a.To).Msg("peer does not acknowledge, opening a new connection")
			c.r.mesh.Redial(a.To)
		}
	}
}

func (c *control) dispatch(a sched.Dispatch) {
	c.answer(a.Request, grant{upstream: a.Upstream, until: a.LeaseExpiry})
}

func (c *control) answer(id sched.RequestID, g grant) {
	w, ok := c.waiters[id]
	if !ok {
		return
	}
	delete(c.waiters, id)
	w.grant <- g
}

func (c *control) synced(now time.Time, s sched.Sync) {
	c.node.Receive(now, s)
	if t := c.told[s.From]; t.incarnation != s.Incarnation {
		c.tellPeer(now, s.From, s.Incarnation)
	}
}

// heard takes in which bundle a peer holds, and fetches it if it is the better.
func (c *control) heard(peer string, m bundle.VersionID) {
	fetch := c.acceptor.RecordPeer(peer, m)
	c.enforce()
	if fetch && c.fetched[peer] != m {
		c.fetched[peer] = m
		go c.r.fetchBundle(peer, m)
	}
}

// offer judges a verified bundle.
func (c *control) offer(now time.Time, o offered) {
	m := bundle.VersionID{Version: o.bundle.Version, Digest: o.signed.Digest()}
	log := c.r.log.With().Uint64("version", m.Version).Str("digest", m.Digest).Str("from", o.from).Logger()
	switch c.acceptor.Offer(m) {
	case bundle.Accepted:
		log.Info().Msg("bundle held")
		c.held = &o
		c.enforce()
		c.tellMark(now)
	case bundle.Conflict:
		c.r.metrics.Scope.Counter("bundle_conflicts").Inc(1)
		log.Error().Msg("refused: another content of this version is held")
	case bundle.Stale:
		log.Debug().Msg("refused: a later version is held")
	}
}

// enforce puts the held bundle in force once it is accepted.
func (c *control) enforce() {
	m := c.acceptor.InForce()
	if c.held == nil || (c.view != nil && c.view.Mark == m) || m != c.acceptor.Latest() || m.Version == 0 {
		return
	}
	c.view = newView(m, c.held.bundle)
	c.r.view.Store(c.view)
	c.node.SetQueueLimit(c.view.Bundle.Limits.QueuePerTeam)
	c.node.Configure(time.Now(), coreSettings(c.view.Bundle))
	c.r.log.Info().Uint64("version", m.Version).Msg("bundle in force")
}

// coreSettings picks what the core decides by.
func coreSettings(b *bundle.Bundle) sched.Settings {
	var s sched.Settings
	poolID := map[string]int{}
	for _, p := range b.Pools {
		poolID[p.Name] = p.ID
		s.Pools = append(s.Pools, p.ID)
	}
	for _, t := range b.Teams {
		s.Teams = append(s.Teams, sched.TeamShare{Team: fairness.TeamID(t.ID), Share: t.Share})
	}
	for _, u := range b.Upstreams {
		s.Upstreams = append(s.Upstreams, sched.Upstream{
			ID: u.ID, Pool: poolID[u.Pool], Slots: u.Slots, Draining: !b.Schedulable(u),
		})
	}
	return s
}

// setList takes in the platform's list of VMs.
func (c *control) setList(now time.Time, list []membership.ListedVM) {
	var names []string
	for _, l := range list {
		names = append(names, l.Name)
	}
	slices.Sort(names)
	c.r.vms.Store(c.r.vms.Load().update(now, names))
	if slices.Contains(names, c.r.cfg.Name) {
		c.r.wasListed.Store(true)
	}
	if slices.Equal(list, c.list) {
		return
	}
	c.list = list
	addresses := map[string]string{}
	for _, l := range list {
		if l.Name != c.r.cfg.Name {
			addresses[l.Name] = l.Address
		}
	}
	c.r.mesh.SetAddresses(addresses)
	c.acceptor.SetVoters(names)
	c.node.SetList(now, list)
	c.enforce()
}

// tellMark tells the peers which bundle this router holds, where they don't know.
func (c *control) tellMark(now time.Time) {
	for _, l := range c.list {
		t := c.told[l.Name]
		if l.Name == c.r.cfg.Name || (t.mark == c.acceptor.Latest() && now.Sub(t.at) < retellEvery) {
			continue
		}
		c.tellPeer(now, l.Name, t.incarnation)
	}
}

func (c *control) tellPeer(now time.Time, peer string, incarnation uint64) {
	m := c.acceptor.Latest()
	c.told[peer] = tell{mark: m, incarnation: incarnation, at: now}
	c.r.mesh.Notify(peer, methodMark, markMessage{From: c.r.cfg.Name, VersionID: m})
}
