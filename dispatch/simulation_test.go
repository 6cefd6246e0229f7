package dispatch_test

import (
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// run drives a core against engines that read first come first served, at the
// data sheet's rate, in virtual time.
type run struct {
	c             *dispatch.Core
	now           time.Duration
	seq           uint64
	asked, served map[string]int
	engines       map[string]*fifo
	team          map[uint64]string
	steps, idles  int
	// onSend, if set, is told of each request that is sent.
	onSend func(team string)
	// elsewhere, if set, is what a team got from other groups.
	elsewhere func(team string) dispatch.Usage
}

// fifo is an engine's unread work.
type fifo struct{ jobs []fifoJob }

type fifoJob struct {
	seq  uint64
	left time.Duration
}

func newRun(c *dispatch.Core) *run {
	return &run{c: c, now: 2 * time.Second, asked: map[string]int{}, served: map[string]int{}, engines: map[string]*fifo{}, team: map[uint64]string{}}
}

func (r *run) ask(team string, session uint64) {
	r.seq++
	r.asked[team]++
	r.team[r.seq] = team
	if r.elsewhere != nil {
		r.c.SetRemoteUsage(r.now, team, r.elsewhere(team))
	}
	r.take(r.c.Submit(r.now, request(r.seq, team, session)))
}

func (r *run) take(ds []dispatch.Decision) {
	for _, d := range ds {
		if d.Verdict != dispatch.Send {
			continue
		}
		if r.onSend != nil {
			r.onSend(r.team[d.Ticket.Seq])
		}
		e := r.engines[d.Upstream]
		if e == nil {
			e = &fifo{}
			r.engines[d.Upstream] = e
		}
		// About half of the sessions are warm: 3,000 to 9,000 tokens to read.
		e.jobs = append(e.jobs, fifoJob{seq: d.Ticket.Seq, left: 150 * time.Millisecond})
	}
}

func (r *run) step(d time.Duration) {
	r.now += d
	for _, e := range r.engines {
		r.steps++
		if len(e.jobs) == 0 {
			r.idles++
		}
		for left := d; left > 0 && len(e.jobs) > 0; {
			use := min(left, e.jobs[0].left)
			e.jobs[0].left -= use
			left -= use
			if e.jobs[0].left > 0 {
				break
			}
			seq := e.jobs[0].seq
			e.jobs = e.jobs[1:]
			r.served[r.team[seq]]++
			r.take(r.c.Started(r.now, ticket(seq)))
			r.take(r.c.Done(r.now, ticket(seq), dispatch.Served, time.Second))
		}
	}
	r.take(r.c.Tick(r.now))
}

func (r *run) idle() float64 { return float64(r.idles) / float64(max(r.steps, 1)) }
