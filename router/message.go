package router

import (
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/idempotency"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/sched"
)

// message is something that the control goroutine must take in. Only that
// goroutine calls apply.
type message interface {
	apply(c *control, now time.Time)
}

// arrive asks for a slot.
type arrive struct {
	request sched.Request
	waiter  *waiter
}

// cancel gives up a request whose caller left.
type cancel struct{ id sched.RequestID }

// finish ends a request that held a slot.
type finish struct{ id sched.RequestID }

// fail ends a request that its upstream did not serve.
type fail struct {
	id    sched.RequestID
	avoid time.Duration
}

// synced is a peer's message to the core.
type synced struct{ sync sched.Sync }

// marked is a peer's word of the bundle that it holds.
type marked struct {
	peer string
	mark bundle.VersionID
}

// offered is a verified bundle.
type offered struct {
	signed *bundle.Signed
	bundle *bundle.Bundle
	from   string
}

// listed is the platform's list of VMs.
type listed struct{ list []membership.ListedVM }

// loaded is an upstream's load report.
type loaded struct {
	pool, upstream int
	load           limits.Load
}

// vote asks this router's voter for its vote on a key.
type vote struct {
	key   string
	owner idempotency.Owner
	reply chan idempotency.Vote
}

// release takes a vote back.
type release struct {
	key   string
	owner idempotency.Owner
}

// begin and settle frame the run of a key that this router won; settle without
// an answer means that it was lost, drop that it was never sent.
type (
	begin  struct{ key string }
	settle struct {
		key    string
		answer *idempotency.Response
	}
	drop struct{ key string }
)

// recall asks what is known of a key that this router won.
type recall struct {
	key   string
	reply chan recalled
}

// recalled is the answer to recall; done closes when a running key has ended.
type recalled struct {
	record idempotency.Record
	done   <-chan struct{}
}

// inspect runs a function that reads the control state.
type inspect struct {
	read func(*control)
	done chan struct{}
}

// leave begins a graceful shutdown.
type leave struct{}

func (m arrive) apply(c *control, now time.Time) {
	c.waiters[m.request.ID] = m.waiter
	c.node.Submit(now, m.request)
}

func (m cancel) apply(c *control, now time.Time) {
	if c.node.Cancel(now, m.id) {
		delete(c.waiters, m.id)
		return
	}
	// The slot was given while the caller left: it goes back unused.
	c.node.Finish(now, m.id)
}

func (m finish) apply(c *control, now time.Time) { c.node.Finish(now, m.id) }
func (m fail) apply(c *control, now time.Time)   { c.node.Fail(now, m.id, m.avoid) }
func (m synced) apply(c *control, now time.Time) { c.synced(now, m.sync) }
func (m marked) apply(c *control, _ time.Time)   { c.heard(m.peer, m.mark) }
func (m offered) apply(c *control, now time.Time) {
	c.offer(now, m)
}
func (m listed) apply(c *control, now time.Time) { c.setList(now, m.list) }
func (m loaded) apply(c *control, now time.Time) { c.node.ObserveLoad(now, m.pool, m.upstream, m.load) }
func (m vote) apply(c *control, _ time.Time) {
	m.reply <- c.voter.Vote(time.Now(), m.key, m.owner)
}
func (m release) apply(c *control, _ time.Time) { c.voter.Release(m.key, m.owner) }
func (m begin) apply(c *control, now time.Time) { c.answers.Begin(now, m.key) }
func (m settle) apply(c *control, _ time.Time)  { c.answers.Complete(m.key, m.answer) }
func (m drop) apply(c *control, _ time.Time)    { c.answers.Abandon(m.key) }
func (m recall) apply(c *control, _ time.Time) {
	record, done := c.answers.Get(m.key)
	m.reply <- recalled{record: record, done: done}
}
func (m inspect) apply(c *control, _ time.Time) {
	m.read(c)
	close(m.done)
}
func (m leave) apply(c *control, now time.Time) {
	c.leaving = true
	c.node.Leave(now)
}
