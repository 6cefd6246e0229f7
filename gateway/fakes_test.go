package gateway_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// state is a published state that a test sets.
type state struct {
	mu       sync.Mutex
	snapshot *feed.Snapshot
	fresh    atomic.Bool
	age      atomic.Int64
}

func (s *state) Snapshot() *feed.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *state) set(to *feed.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = to
}

func (s *state) Fresh() bool        { return s.fresh.Load() }
func (s *state) Age() time.Duration { return time.Duration(s.age.Load()) }

// placer sends each request to the next upstream of a list.
type placer struct {
	mu       sync.Mutex
	seq      uint64
	next     []string
	outcomes []dispatch.Outcome
	before   func()
	refuse   *dispatch.Decision
	lag      atomic.Int64
	readLag  atomic.Int64
	shed     []dispatch.Request
	// table is the quarantine table of the fleet; crashes is the number of reported crashes.
	table   *quarantine.Table
	crashes int
	// grantTrial is set if the next trial is granted; granting it resets the flag.
	grantTrial atomic.Bool
	// leaving are the upstreams that were reported as leaving.
	leaving []dispatch.Incarnation
	// warming is set if all upstreams are warming up.
	warming bool
	// group is the home that decides.
	group int
}

func (p *placer) Place(_ context.Context, _ string, r dispatch.Request) (dispatch.Decision, error) {
	if p.before != nil {
		p.before()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse != nil {
		d := *p.refuse
		d.Group = p.group
		return d, nil
	}
	for _, id := range p.next {
		used := false
		for _, a := range r.Avoid {
			used = used || a == id
		}
		if !used {
			return dispatch.Decision{Verdict: dispatch.Send, Upstream: id, Warming: p.warming}, nil
		}
	}
	return dispatch.Decision{Verdict: dispatch.Refuse, RetryAfter: 300 * time.Millisecond}, nil
}

func (p *placer) Started(string, dispatch.Ticket) {}

func (p *placer) Done(_ string, _ dispatch.Ticket, o dispatch.Outcome, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *placer) NewTicket() dispatch.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return dispatch.Ticket{Router: 1, Seq: p.seq}
}

func (p *placer) Group(string, dispatch.Request) int { return p.group }

func (p *placer) Routers() int { return 1 }

func (p *placer) ReportShed(_ string, r dispatch.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shed = append(p.shed, r)
}

func (p *placer) ReadLag() time.Duration { return time.Duration(p.readLag.Load()) }

func (p *placer) Lag() time.Duration { return time.Duration(p.lag.Load()) }

func (p *placer) seen() []dispatch.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]dispatch.Outcome(nil), p.outcomes...)
}

func (p *placer) RequestTrial(context.Context, quarantine.ContentID) bool {
	return p.grantTrial.Swap(false)
}

func (p *placer) ReportLeaving(_ string, upstream dispatch.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = append(p.leaving, upstream)
}

func (p *placer) ReportCrash(id quarantine.ContentID, _ dispatch.Incarnation, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		p.table = quarantine.NewTable(quarantine.DefaultConfig())
	}
	p.crashes++
	now := time.Duration(p.crashes) * time.Second
	p.table.RecordCrash(now, quarantine.Crash{ID: id, Upstream: uint32(p.crashes), Sent: now})
}

func (p *placer) ReportSuccess(id quarantine.ContentID, _ dispatch.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table != nil {
		p.table.RecordSuccess(time.Hour, id)
	}
}

func (p *placer) Quarantine() *quarantine.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return nil
	}
	return p.table.View()
}

func (p *placer) reportedLeaving() []dispatch.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]dispatch.Incarnation(nil), p.leaving...)
}
