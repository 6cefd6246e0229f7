package dispatch_test

import (
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// simulation drives a core against engines that serve first come, first served, at the
// data sheet's rate, in virtual time.
type simulation struct {
	c                 *dispatch.Core
	now               time.Duration
	seq               uint64
	submitted, served map[string]int
	engines           map[string]*fifoEngine
	team              map[uint64]string
	tickets           map[uint64]dispatch.Ticket
	// allowances holds the last allowance of each router.
	allowances       map[uint64]float64
	steps, idleSteps int
	// onSend, if set, is called for each request that is sent.
	onSend func(team string)
	// onSendTo, if set, is called with the engine of each request that is sent.
	onSendTo func(engine string)
	// stated, if set, is what an engine states in its answers.
	stated func(engine string) dispatch.LoadReport
	// onRefuse, if set, is called for each refusal.
	onRefuse func(dispatch.Decision)
	// remoteUsage, if set, returns what a team got from other groups.
	remoteUsage func(team string) dispatch.Usage
	// unreported, if set, returns whether the start and end of a request aren't reported.
	unreported func(dispatch.Ticket) bool
	// prefillTime is the time that an engine takes for each prompt.
	prefillTime time.Duration
	// domain is the failure domain of the routers that submit requests.
	domain string
}

// fifoEngine is the backlog of an engine.
type fifoEngine struct{ jobs []fifoJob }

type fifoJob struct {
	seq       uint64
	remaining time.Duration
}

func newSimulation(c *dispatch.Core) *simulation {
	return &simulation{c: c, now: 2 * time.Second, submitted: map[string]int{}, served: map[string]int{}, engines: map[string]*fifoEngine{}, team: map[uint64]string{}, tickets: map[uint64]dispatch.Ticket{}, allowances: map[uint64]float64{},
		// About half of the sessions are cached: 3,000 to 9,000 tokens to prefill.
		prefillTime: 150 * time.Millisecond}
}

func (s *simulation) submit(team string, session uint64) { s.submitFrom(router, team, session) }

// submitFrom submits a request of a router.
func (s *simulation) submitFrom(router uint64, team string, session uint64) {
	s.seq++
	s.submitted[team]++
	s.team[s.seq] = team
	if s.remoteUsage != nil {
		s.c.SetRemoteUsage(s.now, team, s.remoteUsage(team))
	}
	r := request(s.seq, team, session)
	r.Ticket.Router, r.Domain = router, s.domain
	s.tickets[s.seq] = r.Ticket
	s.handle(s.c.Submit(s.now, r))
}

func (s *simulation) handle(ds []dispatch.Decision) {
	for _, d := range ds {
		if d.Allowance != 0 {
			s.allowances[d.Ticket.Router] = d.Allowance
		}
		if d.Verdict == dispatch.Refuse && s.onRefuse != nil {
			s.onRefuse(d)
		}
		if d.Verdict != dispatch.Send {
			continue
		}
		if s.onSend != nil {
			s.onSend(s.team[d.Ticket.Seq])
		}
		if s.onSendTo != nil {
			s.onSendTo(d.Upstream)
		}
		e := s.engines[d.Upstream]
		if e == nil {
			e = &fifoEngine{}
			s.engines[d.Upstream] = e
		}
		e.jobs = append(e.jobs, fifoJob{seq: d.Ticket.Seq, remaining: s.prefillTime})
	}
}

func (s *simulation) step(d time.Duration) {
	s.now += d
	for id, e := range s.engines {
		s.steps++
		if len(e.jobs) == 0 {
			s.idleSteps++
		}
		for remaining := d; remaining > 0 && len(e.jobs) > 0; {
			use := min(remaining, e.jobs[0].remaining)
			e.jobs[0].remaining -= use
			remaining -= use
			if e.jobs[0].remaining > 0 {
				break
			}
			seq := e.jobs[0].seq
			e.jobs = e.jobs[1:]
			if s.unreported != nil && s.unreported(s.tickets[seq]) {
				continue
			}
			s.served[s.team[seq]]++
			load := dispatch.LoadReport{}
			if s.stated != nil {
				load = s.stated(id)
			}
			s.handle(s.c.StartedWithLoad(s.now, s.tickets[seq], load))
			s.handle(s.c.Done(s.now, s.tickets[seq], dispatch.Served, time.Second))
		}
	}
	s.handle(s.c.Tick(s.now))
}

func (s *simulation) idleFraction() float64 { return float64(s.idleSteps) / float64(max(s.steps, 1)) }
