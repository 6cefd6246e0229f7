package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/entry"
)

// fixture runs one gate, whose requests the test answers.
type fixture struct {
	gate    *entry.Gate
	now     time.Duration
	load    entry.Load
	serving bool
	// rejected and opened are connections per interval of 100 ms.
	rejected, opened int64
}

const interval = 100 * time.Millisecond

func newFixture() *fixture {
	f := &fixture{gate: entry.NewGate(), serving: true, opened: 50}
	f.actions(4 * time.Second)
	return f
}

// actions lets time pass and returns the actions, each with its time.
func (f *fixture) actions(span time.Duration) (all []entry.Action) {
	for end := f.now + span; f.now < end; {
		f.now += interval
		f.load.Opened, f.load.Rejected = f.load.Opened+f.opened, f.load.Rejected+f.rejected
		if a := f.gate.Observe(f.now, f.load, f.serving); a.Kind != entry.DoNothing {
			all = append(all, a)
		}
	}
	return all
}

// leave floods the router until it asks, and grants the lease.
func (f *fixture) leave() (span time.Duration) {
	f.rejected = 200
	asked := f.actions(300 * time.Millisecond)
	f.gate.Granted(f.now, f.now, asked[0].Span)
	f.rejected = 0
	return asked[0].Span
}

// outFor renews the lease until the router returns, and returns how long it was out.
func (f *fixture) outFor() time.Duration {
	start := f.now
	for {
		for _, a := range f.actions(interval) {
			if a.Kind == entry.End {
				return f.now - start
			}
			f.gate.Granted(f.now, f.now, a.Span)
		}
	}
}

// Guards against a router that needs longer to ask than the load balancer needs to act.
func TestOverloadIsDetectedWithin300ms(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.rejected = 200
	asked := f.actions(300 * time.Millisecond)
	g.Expect(asked).NotTo(BeEmpty())
	g.Expect(asked[0].Kind).To(Equal(entry.Ask))
}

// Guards against a router that leaves because a pause of its process has filled the accept queue
// once, or because it turns a few callers away.
func TestShortOrSlightOverloadIsNone(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.rejected = 400
	g.Expect(f.actions(interval)).To(BeEmpty())
	f.rejected = 0
	g.Expect(f.actions(time.Second)).To(BeEmpty())
	f.opened, f.rejected = 2, 9 // below the minimum rate
	g.Expect(f.actions(2 * time.Second)).To(BeEmpty())
	f.opened, f.rejected = 500, 100 // one of six
	g.Expect(f.actions(2 * time.Second)).To(BeEmpty())
}

// Guards against a router that leaves because it refuses requests on open connections, and against
// one that stays although it refuses all.
func TestBusyRequestsCountAsOverload(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.load.Received, f.load.Busy = 1000, 100
	g.Expect(f.actions(time.Second)).To(BeEmpty())
	for range 3 {
		f.load.Received, f.load.Busy = f.load.Received+100, f.load.Busy+60
		g.Expect(len(f.actions(interval))).To(BeNumerically("<=", 1))
	}
	g.Expect(f.gate.Overloaded()).To(BeTrue())
}

// Guards against a router that asks to leave while it starts or stops.
func TestStartingAndStoppingRoutersDoNotAsk(t *testing.T) {
	g := NewWithT(t)
	f := &fixture{gate: entry.NewGate(), rejected: 300}
	g.Expect(f.actions(5 * time.Second)).To(BeEmpty())
	f.serving = true
	g.Expect(f.actions(2900*time.Millisecond)).To(BeEmpty(), "it has just started")
	g.Expect(f.actions(time.Second)).NotTo(BeEmpty())
	f.serving = false
	g.Expect(f.actions(time.Second)).To(BeEmpty(), "it is stopping")
}

// Guards against a router that returns while the load balancer hasn't used the others yet, and
// against spans that don't grow with a flood that lasts, or grow without a bound.
func TestSpanDoublesWhileTheOverloadReturns(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	var spans []time.Duration
	for range 4 {
		f.leave()
		spans = append(spans, f.outFor())
	}
	g.Expect(spans).To(Equal([]time.Duration{entry.FirstSpan, 2 * entry.FirstSpan, 4 * entry.FirstSpan, entry.MaxSpan}))
	f.actions(3 * entry.MaxSpan)
	g.Expect(f.leave()).To(Equal(entry.FirstSpan), "a long time without an overload")
}

// Guards against a router that remains out after its hub has recalled it, or is lost.
func TestRouterReturnsWithoutALease(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.leave()
	f.actions(time.Second)
	f.gate.Refused(f.now, f.now, entry.TooManyUnavailable)
	g.Expect(f.gate.OutUntil()).To(BeZero())

	f.actions(2 * entry.MaxSpan)
	f.leave()
	actions := f.actions(entry.LeaseTTL)
	g.Expect(actions[len(actions)-1]).To(Equal(entry.Action{Kind: entry.End, Reason: entry.LeaseExpired}))
	g.Expect(f.gate.OutUntil()).To(BeZero())
}

// Guards against answers that come late: a grant after the overload has ended, and a refusal of a
// request from before the lease.
func TestLateAnswersAreIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.rejected = 200
	f.actions(300 * time.Millisecond)
	askedAt := f.now
	f.rejected = 0
	f.actions(time.Second)
	g.Expect(f.gate.Granted(f.now, askedAt, entry.FirstSpan).Kind).To(Equal(entry.End))
	g.Expect(f.gate.OutUntil()).To(BeZero())

	f.leave()
	f.gate.Refused(f.now+interval, f.now-interval, entry.HubIsNew)
	g.Expect(f.gate.OutUntil()).NotTo(BeZero())
}

// Guards against floods of requests to a hub that refuses or doesn't answer.
func TestHubIsAskedOnceASecond(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.rejected = 200
	f.actions(2 * time.Second)
	g.Expect(len(f.actions(10 * time.Second))).To(BeNumerically("<=", 10))
}
