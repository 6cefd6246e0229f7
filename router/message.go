package router

import (
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/idempotency"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/sched"
)

// message is an input of the control goroutine. Only that goroutine calls apply.
type message interface {
	apply(c *controller, now time.Time)
}

// acquireSlot requests a slot.
type acquireSlot struct {
	request sched.Request
	waiter  *waiter
}

// cancelRequest cancels a request whose caller disconnected.
type cancelRequest struct{ id sched.RequestID }

// finishRequest ends a request that held a slot.
type finishRequest struct{ id sched.RequestID }

// failRequest ends a request that its upstream failed to serve.
type failRequest struct {
	id    sched.RequestID
	avoid time.Duration
}

// peerSync is a peer's scheduler state.
type peerSync struct{ sync sched.Sync }

// peerBundleVersion is the version ID of the bundle that a peer holds.
type peerBundleVersion struct {
	peer      string
	versionID bundle.VersionID
}

// verifiedBundle is a bundle whose signatures were verified.
type verifiedBundle struct {
	signed *bundle.Signed
	bundle *bundle.Bundle
	from   string
}

// vmListUpdate is the platform's list of VMs.
type vmListUpdate struct{ list []membership.ListedVM }

// loadReport is an upstream's load report.
type loadReport struct {
	pool, upstream int
	load           limits.Load
}

// castVote requests the vote of this router's voter on a key.
type castVote struct {
	key   string
	owner idempotency.Owner
	reply chan idempotency.Vote
}

// releaseVote releases a vote.
type releaseVote struct {
	key   string
	owner idempotency.Owner
}

// beginRun starts the run of a key that this router won, completeRun ends it, and
// abandonRun ends it if the request was not sent. A nil response in completeRun
// means that the response was lost.
type (
	beginRun    struct{ key string }
	completeRun struct {
		key      string
		response *idempotency.StoredResponse
	}
	abandonRun struct{ key string }
)

// getRecord requests the record of a key that this router won.
type getRecord struct {
	key   string
	reply chan recordReply
}

// recordReply is the reply to getRecord. While the key is running, done is not nil
// and is closed when the run ends.
type recordReply struct {
	record idempotency.Record
	done   <-chan struct{}
}

// beginDrain begins a graceful shutdown.
type beginDrain struct{}

func (m acquireSlot) apply(c *controller, now time.Time) {
	c.waiters[m.request.ID] = m.waiter
	c.node.Submit(now, m.request)
}

func (m cancelRequest) apply(c *controller, now time.Time) {
	if c.node.Cancel(now, m.id) {
		delete(c.waiters, m.id)
		return
	}
	// The slot was granted while the caller disconnected; release it unused.
	c.node.Finish(now, m.id)
}

func (m finishRequest) apply(c *controller, now time.Time) { c.node.Finish(now, m.id) }
func (m failRequest) apply(c *controller, now time.Time)   { c.node.Fail(now, m.id, m.avoid) }
func (m peerSync) apply(c *controller, now time.Time)      { c.receiveSync(now, m.sync) }
func (m peerBundleVersion) apply(c *controller, _ time.Time) {
	c.receiveBundleVersion(m.peer, m.versionID)
}
func (m verifiedBundle) apply(c *controller, now time.Time) {
	c.offerBundle(now, m)
}
func (m vmListUpdate) apply(c *controller, now time.Time) { c.setVMs(now, m.list) }
func (m loadReport) apply(c *controller, now time.Time) {
	c.node.ObserveLoad(now, m.pool, m.upstream, m.load)
}
func (m castVote) apply(c *controller, _ time.Time) {
	m.reply <- c.voter.Vote(time.Now(), m.key, m.owner)
}
func (m releaseVote) apply(c *controller, _ time.Time) { c.voter.Release(m.key, m.owner) }
func (m beginRun) apply(c *controller, now time.Time)  { c.records.Begin(now, m.key) }
func (m completeRun) apply(c *controller, _ time.Time) { c.records.Complete(m.key, m.response) }
func (m abandonRun) apply(c *controller, _ time.Time)  { c.records.Abandon(m.key) }
func (m getRecord) apply(c *controller, _ time.Time) {
	record, done := c.records.Get(m.key)
	m.reply <- recordReply{record: record, done: done}
}
func (m beginDrain) apply(c *controller, now time.Time) {
	c.draining = true
	c.node.Drain(now)
}
