package lab

import (
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/limits"
)

// CPU time that a router spends on a request. Under a flood it is 50 microseconds for a
// request that the router sheds, 150 microseconds for one that a home refuses, and
// 300 microseconds for a stream that is served.
const (
	parseCPU    = 30 * time.Microsecond
	refuseCPU   = 20 * time.Microsecond
	submitCPU   = 50 * time.Microsecond
	decisionCPU = 50 * time.Microsecond
	streamCPU   = 170 * time.Microsecond
)

const (
	// lagDecay is the weight of the previous average in a router's moving average of the lag.
	lagDecay = 0.9
	// routerTickInterval is the interval of a router's timer.
	routerTickInterval = 10 * time.Millisecond
)

// router models a router's CPU, which runs one task at a time.
type router struct {
	clock *clock
	// cpuShare is the router's CPU in cores.
	cpuShare float64
	// idleAt is when the CPU finishes all tasks queued so far.
	idleAt  time.Duration
	lag     time.Duration
	shedder *limits.Shedder
}

func newRouter(c *clock, cpuShare float64) *router {
	r := &router{clock: c, cpuShare: cpuShare, shedder: limits.NewShedder(limits.DefaultShedConfig())}
	r.tick()
	return r
}

func (r *router) tick() {
	r.recordLag(0)
	r.clock.after(routerTickInterval, r.tick)
}

// work runs do after cost of CPU time, once the tasks queued before are finished.
func (r *router) work(cost time.Duration, do func()) {
	r.idleAt = max(r.idleAt, r.clock.now) + time.Duration(float64(cost)/r.cpuShare)
	r.clock.after(r.idleAt-r.clock.now, do)
}

// stall blocks the CPU for d.
func (r *router) stall(d time.Duration) { r.idleAt = max(r.idleAt, r.clock.now) + d }

func (r *router) recordLag(waited time.Duration) {
	r.lag = time.Duration(lagDecay*float64(r.lag) + (1-lagDecay)*float64(waited))
}

// shareKey returns the key under which the request's home decides on its team's share.
func (s *simulation) shareKey(r *request) limits.ShareKey {
	return limits.ShareKey{Group: homeOf(r, s.fleet.Homes), Team: strconv.Itoa(r.team)}
}

// minShedRetryAfter is the minimum retry delay sent with a shed request.
const minShedRetryAfter = 100 * time.Millisecond

// receive handles an attempt from a caller.
func (s *simulation) receive(req *request) {
	r := s.routers[req.router]
	r.work(parseCPU, func() { s.admit(r, req) })
}

// admit sheds the attempt or submits it to the policy.
func (s *simulation) admit(r *router, req *request) {
	if req.ended {
		return
	}
	verdict := r.shedder.Check(s.clock.now, limits.Arrival{Share: s.shareKey(req), Tokens: req.charge(), Streaming: true, Lag: r.lag})
	if verdict.Reason != limits.NotShed {
		s.policy.recordShed(req)
		r.work(refuseCPU, func() { s.refused(req, max(verdict.RetryAfter, minShedRetryAfter)) })
		return
	}
	queuedAt := s.clock.now
	r.work(submitCPU, func() {
		r.recordLag(s.clock.now - queuedAt)
		s.policy.submit(req)
	})
}

// receiveDecision applies a decision after the router has spent the CPU time to read it.
func (s *simulation) receiveDecision(req *request, d dispatch.Decision) {
	if d.Verdict == dispatch.Wait {
		return
	}
	r := s.routers[req.router]
	r.work(decisionCPU, func() {
		r.shedder.UpdateRate(s.clock.now, s.shareKey(req), d.Allowance, d.RetryAfter)
		if d.Verdict == dispatch.Send {
			r.work(streamCPU, func() {})
		}
		s.applyDecision(req, d)
	})
}
