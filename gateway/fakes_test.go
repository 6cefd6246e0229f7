package gateway_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/quarantine"
	"github.com/aspenswitch/aspenswitch/resumption"
)

// fakeState implements gateway.StateReader.
type fakeState struct {
	mu       sync.Mutex
	snapshot *feed.Snapshot
	fresh    atomic.Bool
	age      atomic.Int64
}

func (s *fakeState) Snapshot() *feed.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *fakeState) set(to *feed.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = to
}

func (s *fakeState) Fresh() bool        { return s.fresh.Load() }
func (s *fakeState) Age() time.Duration { return time.Duration(s.age.Load()) }

// fakePlacer places each request on the first upstream that it doesn't exclude.
type fakePlacer struct {
	mu          sync.Mutex
	seq         uint64
	upstreams   []string
	outcomes    []dispatch.Outcome
	beforePlace func()
	// waitToPlace, if not nil, is called with the context of each placement, and ends it with an error.
	waitToPlace func(ctx context.Context) error
	refuse      *dispatch.Decision
	// placed are the requests to be placed.
	placed  []dispatch.Request
	lag     atomic.Int64
	readLag atomic.Int64
	shed    []dispatch.Request
	// table is the quarantine table of the fleet; crashes is the number of reported crashes.
	table   *quarantine.Table
	crashes int
	// unconfirmed has the requests whose streams ended without a sign that they were complete.
	unconfirmed []quarantine.Interruption
	// started has the parts of prompts that were reported as started.
	started []uint64
	// ended has the keys of trials that ended without a result.
	ended []quarantine.Key
	// grantTrial is set if the next trial is granted; granting it resets the flag.
	grantTrial atomic.Bool
	// leaving are the upstreams that were reported as leaving.
	leaving []dispatch.Incarnation
	// warming is set if all upstreams are warming up.
	warming bool
	// streams has the origins of streams that the gateway has reported.
	streams *resumption.Table
	// history, if not nil, shows the versions that have served until historyAge.
	history    *resumption.History
	historyAge time.Duration
	// group is the upstream group whose home decides.
	group int
	// loads are the loads that were reported with the first bytes of responses.
	loads []dispatch.LoadReport
}

func (p *fakePlacer) Place(ctx context.Context, _ string, r dispatch.Request) (dispatch.Decision, error) {
	if p.beforePlace != nil {
		p.beforePlace()
	}
	if p.waitToPlace != nil {
		if err := p.waitToPlace(ctx); err != nil {
			return dispatch.Decision{}, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed = append(p.placed, r)
	if p.refuse != nil {
		d := *p.refuse
		d.Group = p.group
		return d, nil
	}
	for _, id := range p.upstreams {
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

func (p *fakePlacer) placedRequests() []dispatch.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]dispatch.Request(nil), p.placed...)
}

func (p *fakePlacer) Started(_ string, _ dispatch.Ticket, load dispatch.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads = append(p.loads, load)
}

func (p *fakePlacer) statedLoads() []dispatch.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]dispatch.LoadReport(nil), p.loads...)
}

func (p *fakePlacer) Done(_ string, _ dispatch.Ticket, o dispatch.Outcome, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

func (p *fakePlacer) NewTicket() dispatch.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return dispatch.Ticket{Router: 1, Seq: p.seq}
}

func (p *fakePlacer) Group(string, dispatch.Request) int { return p.group }

func (p *fakePlacer) Routers() int { return 1 }

func (p *fakePlacer) ReportShed(_ string, r dispatch.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shed = append(p.shed, r)
}

func (p *fakePlacer) ReadLag() time.Duration { return time.Duration(p.readLag.Load()) }

func (p *fakePlacer) Lag() time.Duration { return time.Duration(p.lag.Load()) }

func (p *fakePlacer) reportedOutcomes() []dispatch.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]dispatch.Outcome(nil), p.outcomes...)
}

func (p *fakePlacer) EndTrial(keys []quarantine.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, keys...)
}

func (p *fakePlacer) endedTrials() []quarantine.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]quarantine.Key(nil), p.ended...)
}

func (p *fakePlacer) AwaitQuarantine(context.Context) {}

func (p *fakePlacer) RequestTrial(context.Context, []quarantine.Key) bool {
	return p.grantTrial.Swap(false)
}

func (p *fakePlacer) ReportLeaving(_ string, upstream dispatch.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = append(p.leaving, upstream)
}

func (p *fakePlacer) ReportCrash(i quarantine.Interruption, _ dispatch.Incarnation, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		p.table = quarantine.NewTable(quarantine.DefaultConfig())
	}
	p.crashes++
	now := time.Duration(p.crashes) * time.Second
	for _, key := range i.Keys {
		p.table.RecordCrash(now, quarantine.Crash{ID: key, Team: i.Team, Upstream: uint32(p.crashes), Sent: now})
	}
}

func (p *fakePlacer) ReportUnconfirmedEnd(i quarantine.Interruption, _ dispatch.Incarnation, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unconfirmed = append(p.unconfirmed, i)
}

func (p *fakePlacer) unconfirmedEnds() []quarantine.Interruption {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]quarantine.Interruption(nil), p.unconfirmed...)
}

func (p *fakePlacer) ReportSuccess(id quarantine.Key, _ dispatch.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table != nil {
		p.table.Clear(time.Hour, id)
	}
}

func (p *fakePlacer) ReportStarted(parts []dispatch.Part, _ dispatch.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		p.started = append(p.started, part.ID)
		if p.table != nil {
			p.table.Clear(time.Hour, quarantine.NewPartKey(part.ID))
		}
	}
}

func (p *fakePlacer) startedParts() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]uint64(nil), p.started...)
}

func (p *fakePlacer) ReportStreamBegan(attempt string, origin resumption.Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams.Record(0, resumption.NewStreamID(attempt), origin)
}

func (p *fakePlacer) StreamVersion(_ context.Context, service, attempt string, window time.Duration) resumption.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, version, evidence := p.historyAge, "", resumption.Several
	if p.history != nil {
		version, evidence = p.history.SoleVersion(now, service, now, window)
	}
	q := resumption.NewQuery(0, resumption.NewStreamID(attempt), service, nil, 0)
	if origin, found := p.streams.Lookup(q.ID); found {
		q.Known(origin, "the test")
	}
	return q.Decide(0, version, evidence)
}

func (p *fakePlacer) Quarantine() *quarantine.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return nil
	}
	return p.table.View()
}

func (p *fakePlacer) reportedLeaving() []dispatch.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]dispatch.Incarnation(nil), p.leaving...)
}
