package lab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/lab"
)

// overload is a load that for some seconds is more than the engines can serve.
type overload struct {
	name   string
	change func(*lab.Load, *lab.Fleet)
}

const (
	// overloadHomes is the number of homes that divide the deployment's engines.
	overloadHomes = 4
	// baseFraction is the load outside of the overloads, as a fraction of what the engines can
	// serve.
	baseFraction = 0.6
	// retryTime is the time of some round trips between a caller and its router.
	retryTime = 15 * time.Millisecond
)

// surge returns a surge of all teams to a fraction of what the engines can serve.
func surge(fraction float64, from, to time.Duration) lab.Surge {
	return lab.Surge{Team: lab.AllTeams, Factor: fraction / baseFraction, From: from, To: to}
}

// overloads returns the loads: a peak, two bursts, a flood of one team, and a peak in which a
// quarter of the engines is lost.
func overloads() []overload {
	const s = time.Second
	return []overload{
		{"peak", func(l *lab.Load, _ *lab.Fleet) { l.Surges = []lab.Surge{surge(1.5, 3*s, 9*s)} }},
		{"bursts", func(l *lab.Load, _ *lab.Fleet) { l.Surges = []lab.Surge{surge(2, 3*s, 5*s), surge(2, 7*s, 9*s)} }},
		{"flood", func(l *lab.Load, _ *lab.Fleet) { l.Surges = []lab.Surge{{Team: 2, Factor: 12, From: 3 * s, To: 9 * s}} }},
		{"lost engines", func(l *lab.Load, f *lab.Fleet) {
			l.Surges = []lab.Surge{surge(1, 3*s, 9*s)}
			f.EngineOutages = []lab.EngineOutage{{Engines: f.Engines / 4, From: 6 * s, To: 9 * s}}
		}},
	}
}

// overloadDraws is the number of seeds of each load.
const overloadDraws = 4

// simulateOverload returns the mean results over all seeds and the lowest fairness ratio.
func simulateOverload(o overload, deployment string, p lab.Policy, reservations bool) lab.Result {
	sheet := lab.BuiltinSheet(deployment).PerHome(overloadHomes)
	mean := lab.Result{TrimmedFairnessRatio: 1}
	for seed := range uint64(overloadDraws) {
		l := lab.Load{Sheet: sheet, Scale: baseFraction * overloadScale(sheet), Duration: 13 * time.Second, Seed: seed, MaxRetries: 1, RetryDelay: retryTime}
		f := sheet.Fleet()
		f.Features = dispatch.Features{Reservations: reservations}
		o.change(&l, &f)
		r := lab.Simulate(l, f, p)
		mean.Worth += r.Worth / overloadDraws
		mean.OnTime += r.OnTime / overloadDraws
		mean.Refused += r.Refused / overloadDraws
		mean.TrimmedFairnessRatio = min(mean.TrimmedFairnessRatio, r.TrimmedFairnessRatio)
		mean.Counts = mean.Counts.Plus(r.Counts)
	}
	return mean
}

// keptFraction returns the fraction of the reservations whose callers were served.
func keptFraction(r lab.Result) float64 {
	return float64(r.Counts.ReservationsKept) / float64(r.Counts.Reservations)
}

// overloadScale returns the multiple of the sheet's rates from which on callers are refused
// regularly.
func overloadScale(sheet *lab.Sheet) float64 { return 0.85 * capacityScale(sheet, 0.8) }

const (
	// minKept is the fraction of the reservations whose callers must be served when they return.
	minKept = 0.9
	// lateWorthNoise is the difference in worth between two seeds of a load that is tolerated.
	lateWorthNoise = 0.01
)

// Guards against promised room that is not there when callers return, and against room for them
// that costs other callers more than it gives, at overloads of some seconds.
func TestReservationsAreKeptUnderLoad(t *testing.T) {
	g := NewWithT(t)
	const sheet = "ledger-grown"
	withSum, withoutSum := 0.0, 0.0
	for _, o := range overloads() {
		with, without := simulateOverload(o, sheet, lab.Home, true), simulateOverload(o, sheet, lab.Home, false)
		possible := simulateOverload(o, sheet, lab.Omniscient, true)
		t.Logf("%s: %d of %d reservations kept; worth %.3f, %.3f without, %.3f possible; in time %.3f, %.3f, %.3f; refused twice %.3f, %.3f, %.3f; fairness ratio %.2f",
			o.name, with.Counts.ReservationsKept, with.Counts.Reservations, with.Worth, without.Worth, possible.Worth,
			with.OnTime, without.OnTime, possible.OnTime, with.Refused, without.Refused, possible.Refused, with.TrimmedFairnessRatio)
		g.Expect(with.Counts.Reservations).To(BeNumerically(">", 10), o.name)
		g.Expect(keptFraction(with)).To(BeNumerically(">=", minKept), o.name)
		g.Expect(with.Worth).To(BeNumerically(">", without.Worth-lateWorthNoise), o.name)
		g.Expect(with.Refused).To(BeNumerically("<", without.Refused), o.name)
		g.Expect(with.TrimmedFairnessRatio).To(BeNumerically(">", minFairnessRatio), o.name)
		withSum += with.Worth
		withoutSum += without.Worth
	}
	g.Expect(withSum).To(BeNumerically(">=", withoutSum))
}

// Guards against promised room where slots are short instead of time to prefill.
func TestReservationsAreKeptWhereSlotsAreShort(t *testing.T) {
	g := NewWithT(t)
	for _, o := range overloads() {
		r := simulateOverload(o, "cooling-grown", lab.Home, true)
		t.Logf("%s: %d of %d reservations kept", o.name, r.Counts.ReservationsKept, r.Counts.Reservations)
		g.Expect(r.Counts.Reservations).To(BeNumerically(">", 10), o.name)
		g.Expect(keptFraction(r)).To(BeNumerically(">=", minKept), o.name)
	}
}
