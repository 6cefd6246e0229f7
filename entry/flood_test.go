package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/entry"
)

// leaveTime is the aim for callers of a flooded router: detection, and two probes of the load
// balancer, which are up to two seconds.
const leaveTime = 3 * time.Second

// weak is the index of a weak router of mixed.
const weak = 10

func acceptedPart(callers []*caller) float64 {
	sum := 0.0
	for _, c := range callers {
		sum += c.acceptedPart
	}
	return sum / float64(len(callers))
}

// Guards against callers that are turned away by a weak router for as long as a flood lasts, beside
// strong routers that could accept them.
func TestCallersOfAFloodedRouterAreAccepted(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	flooded := d.routers[weak]
	callers := d.flood(flooded, 5, 2500)
	d.run(leaveTime, nil)
	g.Expect(d.rotation()).NotTo(ContainElement(flooded), "new connections go elsewhere within two probes and the detection")
	g.Expect(acceptedPart(callers)).To(BeNumerically(">=", 0.9))
}

// Guards against a return to the load balancer that brings the flood back more and more often.
func TestFloodThatLastsIsAcceptedNineTenthsOfTheTime(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	callers := d.flood(d.routers[weak], 1, 1500)
	d.run(60*time.Second, nil)
	accepted, steps := 0.0, 0.0
	d.run(60*time.Second, func() {
		steps++
		accepted += acceptedPart(callers)
	})
	g.Expect(accepted / steps).To(BeNumerically(">=", 0.9))
}

// Guards against floods at several routers of which only the first one is moved.
func TestCallersOfTwoFloodedRoutersAreAccepted(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	first, second := d.routers[weak], d.routers[weak+1]
	d.flood(first, 1, 1500)
	d.flood(second, 1, 1500)
	d.run(leaveTime, nil)
	g.Expect(d.rotation()).NotTo(ContainElements(first, second))
}

// Guards against routers that leave although all others are overloaded too: the callers of one would
// be turned away by the next.
func TestNobodyLeavesInAFloodOverAllRouters(t *testing.T) {
	for name, weights := range map[string][]float64{"mixed": mixed(), "equal": repeat(20, 0.2)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDomain(weights...)
			for _, r := range d.routers {
				d.flood(r, 2, 3*r.weight*connectionsPerCore)
			}
			d.run(20*time.Second, nil)
			g.Expect(d.leaves).To(BeZero())
		})
	}
}

// Guards against weak routers that leave although more callers are accepted if all stay: the strong
// ones, which aren't overloaded, would get only some of the callers.
func TestWeakRoutersStayWhereLeavingHelpsNobody(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	for _, r := range d.routers[7:] {
		d.flood(r, 1, 1000)
	}
	d.run(20*time.Second, nil)
	g.Expect(d.leaves).To(BeZero())
}

// Guards against a strong router that leaves, so that its callers meet weaker ones.
func TestStrongRouterStays(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	d.flood(d.routers[0], 5, 8000)
	d.run(20*time.Second, nil)
	g.Expect(d.leaves).To(BeZero())
}

// Guards against a flood from one address that is passed on over all of a domain's equal routers.
func TestFloodIsNotPassedOnOverEqualRouters(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(repeat(8, 0.2)...)
	d.flood(d.routers[0], 1, 2500)
	most := 0
	d.run(20*time.Second, func() {
		n := d.outNow()
		most = max(most, n)
	})
	g.Expect(most).To(Equal(1))
}

// Guards against a router that leaves a failure domain in which nobody can take its callers.
func TestSmallDomainsStayReady(t *testing.T) {
	for name, weights := range map[string][]float64{"one": {0.2}, "two": {0.2, 0.8}, "three equal": repeat(3, 0.2)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDomain(weights...)
			d.flood(d.routers[0], 3, 3000)
			d.run(20*time.Second, nil)
			g.Expect(d.leaves).To(BeZero())
		})
	}
}

// Guards against routers that leave without a hub, and against ones that remain out after their hub
// is lost.
func TestRoutersAreReadyWithoutAHub(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	d.flood(d.routers[weak], 3, 2500)
	d.run(leaveTime, nil)
	out := d.outNow()
	g.Expect(out).To(BeNumerically(">", 0))
	d.reachable = func(*router) bool { return false }
	d.run(entry.LeaseTTL, nil)
	out = d.outNow()
	g.Expect(out).To(BeZero())
	d.run(20*time.Second, func() {
		out := d.outNow()
		g.Expect(out).To(BeZero())
	})
}

// Guards against a new hub that grants leases beside those of the one before.
func TestNewHubLearnsWhichRoutersAreOut(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	for i := range 4 {
		d.flood(d.routers[weak+i], 1, 2500)
	}
	d.run(1500*time.Millisecond, nil) // they have just renewed their leases
	g.Expect(d.outNow()).To(Equal(4))
	d.table = entry.NewTable(d.now, d.known())
	for i := range 4 {
		d.flood(d.routers[weak+4+i], 1, 2500)
	}
	d.run(10*time.Second, func() { g.Expect(d.outNow()).To(BeNumerically("<=", len(d.routers)/4)) })
}

// Guards against floods that last, at so many routers that they are ready for less than seven eighths
// of the time.
func TestRoutersAreReadySevenEighthsOfTheTime(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	for i := range 6 {
		d.flood(d.routers[weak+i], 1, 1500)
	}
	var outTime time.Duration
	for range 4 {
		const period = 40 * time.Second
		outTime = 0
		d.run(period, func() { outTime += time.Duration(d.outNow()) * step })
		g.Expect(outTime).To(BeNumerically("<=", time.Duration(len(d.routers))*period/8))
	}
	g.Expect(outTime).NotTo(BeZero())
}

// Guards against the half of a divided failure domain that takes routers out beside the ones that it
// can't reach.
func TestDividedDomainStaysReady(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	d.reachable = func(r *router) bool { return r.name < "r12" }
	d.run(time.Second, nil)
	d.flood(d.routers[weak], 3, 2500)
	d.flood(d.routers[19], 3, 2500)
	d.run(20*time.Second, nil)
	g.Expect(d.leaves).To(BeZero())
}

// Guards against routers that remain out while others of their failure domain are lost, until the
// load balancer uses those that are out and those that are lost as well.
func TestRoutersReturnWhenOthersAreLost(t *testing.T) {
	g := NewWithT(t)
	d := newDomain(mixed()...)
	d.flood(d.routers[weak], 1, 2500)
	d.run(leaveTime, nil)
	out := d.outNow()
	g.Expect(out).To(BeNumerically(">", 0))
	for _, r := range d.routers[:8] {
		r.lost = true
	}
	d.run(1100*time.Millisecond, nil)
	out = d.outNow()
	g.Expect(out).To(BeZero())
}
