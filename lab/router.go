package lab

import (
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/limits"
)

// What a router's processor spends on a request, measured on routers under a flood: 50
// microseconds for one that is refused without asking, three times that for one that a
// home refuses, 300 for a stream that is served.
const (
	readTime   = 30 * time.Microsecond
	refuseTime = 20 * time.Microsecond
	askTime    = 50 * time.Microsecond
	answerTime = 50 * time.Microsecond
	streamTime = 170 * time.Microsecond
)

const (
	// lagKeep is the weight of the past in a router's average lag.
	lagKeep = 0.9
	// routerTick is the time between two ticks of a router's timer.
	routerTick = 10 * time.Millisecond
)

// router takes callers' requests. Its processor does one thing after the other.
type router struct {
	clock *clock
	// share is the part of a core that it has.
	share float64
	// freeAt is when the processor has done what came so far.
	freeAt  time.Duration
	lag     time.Duration
	shedder *limits.Shedder
}

func newRouter(c *clock, share float64) *router {
	r := &router{clock: c, share: share, shedder: limits.NewShedder(limits.DefaultShedConfig())}
	r.tick()
	return r
}

func (r *router) tick() {
	r.noteLag(0)
	r.clock.after(routerTick, r.tick)
}

// work does something once the processor has time.
func (r *router) work(cost time.Duration, do func()) {
	r.freeAt = max(r.freeAt, r.clock.now) + time.Duration(float64(cost)/r.share)
	r.clock.after(r.freeAt-r.clock.now, do)
}

// stall keeps the processor from all work for a while.
func (r *router) stall(d time.Duration) { r.freeAt = max(r.freeAt, r.clock.now) + d }

func (r *router) noteLag(waited time.Duration) {
	r.lag = time.Duration(lagKeep*float64(r.lag) + (1-lagKeep)*float64(waited))
}

// share names what the request's home decides on by its team's share.
func (w *world) share(r *request) limits.ShareKey {
	return limits.ShareKey{Group: homeOf(r, w.shape.Homes), Team: strconv.Itoa(r.team)}
}

// shedRetry is the least time that callers are told to wait.
const shedRetry = 100 * time.Millisecond

// receive takes an attempt from its caller.
func (w *world) receive(q *request) {
	r := w.routers[q.router]
	r.work(readTime, func() { w.admit(r, q) })
}

// admit asks the policy, or refuses without asking.
func (w *world) admit(r *router, q *request) {
	if q.ended {
		return
	}
	verdict := r.shedder.Check(w.clock.now, limits.Arrival{Share: w.share(q), Tokens: q.charge(), Streaming: true, Lag: r.lag})
	if verdict.Reason != limits.NotShed {
		w.decider.shed(q)
		r.work(refuseTime, func() { w.refused(q, max(verdict.RetryAfter, shedRetry)) })
		return
	}
	posted := w.clock.now
	r.work(askTime, func() {
		r.noteLag(w.clock.now - posted)
		w.decider.ask(q)
	})
}

// replied acts on a decision once the router has read it.
func (w *world) replied(q *request, d dispatch.Decision) {
	if d.Verdict == dispatch.Wait {
		return
	}
	r := w.routers[q.router]
	r.work(answerTime, func() {
		r.shedder.UpdateRate(w.clock.now, w.share(q), d.Allowance, d.RetryAfter)
		if d.Verdict == dispatch.Send {
			r.work(streamTime, func() {})
		}
		w.decided(q, d)
	})
}
