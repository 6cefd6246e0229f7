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

// controller is the state that the control goroutine owns.
type controller struct {
	r         *Router
	node      *sched.Node
	acceptor  *bundle.Acceptor
	voter     *idempotency.Voter
	records   *idempotency.RecordStore
	waiters   map[sched.RequestID]*waiter
	listedVMs []membership.ListedVM
	// latest is the bundle whose version ID is acceptor.Latest, the last one accepted;
	// inForce is the one in force.
	latest    *verifiedBundle
	inForce   *indexedBundle
	announced map[string]announcement
	fetched   map[string]bundle.VersionID
	draining  bool
}

// announcement is the bundle version ID that was last sent to a peer.
type announcement struct {
	versionID   bundle.VersionID
	incarnation uint64
	at          time.Time
}

// announceInterval is the interval at which the version ID of the latest bundle is
// sent again to each peer, in case a notification was lost.
const announceInterval = 5 * time.Second

func newController(r *Router, now time.Time) *controller {
	return &controller{
		r:         r,
		node:      sched.NewNode(now, r.cfg.Scheduler),
		acceptor:  bundle.NewAcceptor(r.cfg.Name),
		voter:     idempotency.NewVoter(r.cfg.Idempotency, r.started),
		records:   idempotency.NewRecordStore(r.cfg.Idempotency),
		waiters:   map[sched.RequestID]*waiter{},
		announced: map[string]announcement{},
		fetched:   map[string]bundle.VersionID{},
	}
}

// run is the body of the control goroutine. It returns when stop is closed.
func (c *controller) run(stop <-chan struct{}) {
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
		c.runActions()
	}
}

func (c *controller) tick(now time.Time) {
	c.node.Tick(now)
	c.announceBundleVersion(now)
}

// runActions executes the actions that the scheduler returned.
func (c *controller) runActions() {
	for _, a := range c.node.Actions() {
		switch a := a.(type) {
		case sched.Dispatch:
			c.dispatch(a)
		case sched.Refuse:
			c.reply(a.Request, decision{refusal: &Refusal{Reason: a.Reason, RetryAfter: a.RetryAfter}})
		case sched.Send:
			c.r.mesh.Notify(a.To, methodSync, a.Sync)
		case sched.Redial:
			c.r.log.Info().Str("peer", a.To).Msg("peer does not acknowledge messages; opening a new connection")
			c.r.mesh.Redial(a.To)
		}
	}
}

func (c *controller) dispatch(a sched.Dispatch) {
	c.reply(a.Request, decision{upstream: a.Upstream, leaseExpiry: a.LeaseExpiry})
}

func (c *controller) reply(id sched.RequestID, d decision) {
	w, ok := c.waiters[id]
	if !ok {
		return
	}
	delete(c.waiters, id)
	w.decision <- d
}

func (c *controller) receiveSync(now time.Time, s sched.Sync) {
	c.node.Receive(now, s)
	if sent := c.announced[s.From]; sent.incarnation != s.Incarnation {
		c.announceBundleVersionTo(now, s.From, s.Incarnation)
	}
}

// receiveBundleVersion records which bundle a peer holds and fetches the bundle if the
// acceptor prefers it to the latest one here.
func (c *controller) receiveBundleVersion(peer string, id bundle.VersionID) {
	fetch := c.acceptor.RecordPeer(peer, id)
	c.applyLatestBundle()
	if fetch && c.fetched[peer] != id {
		c.fetched[peer] = id
		go c.r.fetchBundle(peer, id)
	}
}

// offerBundle offers a verified bundle to the acceptor. An accepted bundle becomes the
// latest one.
func (c *controller) offerBundle(now time.Time, b verifiedBundle) {
	id := bundle.VersionID{Version: b.bundle.Version, Digest: b.signed.Digest()}
	log := c.r.log.With().Uint64("version", id.Version).Str("digest", id.Digest).Str("from", b.from).Logger()
	switch c.acceptor.Offer(id) {
	case bundle.Accepted:
		log.Info().Msg("bundle held")
		c.latest = &b
		c.applyLatestBundle()
		c.announceBundleVersion(now)
	case bundle.Conflict:
		c.r.metrics.Scope.Counter("bundle_conflicts").Inc(1)
		log.Error().Msg("conflicting bundle ignored: the held bundle has the same version but different content")
	case bundle.Stale:
		log.Debug().Msg("stale bundle ignored: a later version is held")
	}
}

// applyLatestBundle puts the latest bundle in force once the acceptor allows it.
func (c *controller) applyLatestBundle() {
	id := c.acceptor.InForce()
	if c.latest == nil || (c.inForce != nil && c.inForce.VersionID == id) || id != c.acceptor.Latest() || id.Version == 0 {
		return
	}
	c.inForce = newIndexedBundle(id, c.latest.bundle)
	c.r.inForce.Store(c.inForce)
	c.node.SetQueueLimit(c.inForce.Bundle.Limits.QueuePerTeam)
	c.node.Configure(time.Now(), schedSettings(c.inForce.Bundle))
	c.r.log.Info().Uint64("version", id.Version).Msg("bundle in force")
}

// schedSettings returns the scheduler settings of a bundle.
func schedSettings(b *bundle.Bundle) sched.Settings {
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

// setVMs applies the platform's list of VMs.
func (c *controller) setVMs(now time.Time, list []membership.ListedVM) {
	var names []string
	for _, l := range list {
		names = append(names, l.Name)
	}
	slices.Sort(names)
	c.r.vms.Store(c.r.vms.Load().update(now, names))
	if slices.Contains(names, c.r.cfg.Name) {
		c.r.wasListed.Store(true)
	}
	if slices.Equal(list, c.listedVMs) {
		return
	}
	c.listedVMs = list
	addresses := map[string]string{}
	for _, l := range list {
		if l.Name != c.r.cfg.Name {
			addresses[l.Name] = l.Address
		}
	}
	c.r.mesh.SetAddresses(addresses)
	c.acceptor.SetVoters(names)
	c.node.SetList(now, list)
	c.applyLatestBundle()
}

// announceBundleVersion sends the version ID of the latest bundle to each peer that
// was not sent it within announceInterval.
func (c *controller) announceBundleVersion(now time.Time) {
	for _, l := range c.listedVMs {
		sent := c.announced[l.Name]
		if l.Name == c.r.cfg.Name || (sent.versionID == c.acceptor.Latest() && now.Sub(sent.at) < announceInterval) {
			continue
		}
		c.announceBundleVersionTo(now, l.Name, sent.incarnation)
	}
}

func (c *controller) announceBundleVersionTo(now time.Time, peer string, incarnation uint64) {
	id := c.acceptor.Latest()
	c.announced[peer] = announcement{versionID: id, incarnation: incarnation, at: now}
	c.r.mesh.Notify(peer, methodBundleVersion, bundleVersionMessage{From: c.r.cfg.Name, VersionID: id})
}
