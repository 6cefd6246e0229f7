package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

const (
	// fillingCapacity is the throughput of the engines in tokens per second.
	fillingCapacity = 400000
	fillingFloods   = 3
	fillingSmall    = 8
	// maxIdleFraction is the time that engines may be idle while requests are refused: what a
	// decision takes to follow the end of a prefill.
	maxIdleFraction = 0.05
)

// idleFractionAtStart simulates the first seconds of a home, with three teams that request a multiple
// of their thirds of the capacity and small teams with a request every 200 ms. It returns the highest
// fraction of any half second in which the engines were idle.
func idleFractionAtStart(s *simulation, multiple float64) float64 {
	const step, span = 10 * time.Millisecond, 50
	r := request(1, "", 1)
	perStep := multiple * fillingCapacity / fillingFloods / dispatch.ChargedTokens(&r) * step.Seconds()
	highest, due := 0.0, 0.0
	for i := range 8 * span {
		s.step(step)
		for due += perStep; due >= 1; due-- {
			for flood := range uint64(fillingFloods) {
				s.submitFrom(flood, fmt.Sprint("flood", flood), s.seq%20)
			}
		}
		if i%20 == 0 {
			for team := range fillingSmall {
				s.submitFrom(fillingFloods, fmt.Sprint("small", team), s.seq%20)
			}
		}
		if i%span == span-1 {
			highest = max(highest, s.idleFraction())
			s.steps, s.idleSteps = 0, 0
		}
	}
	return highest
}

// Guards against a home that refuses teams beside idle engines because its sum over the share window
// has collected less than its sums over a second.
func TestEnginesAreUsedWhileAHomesSumsAreCollected(t *testing.T) {
	g := NewWithT(t)
	for _, multiple := range []float64{2, 3} {
		g.Expect(idleFractionAtStart(newBusySimulation(10, fillingCapacity), multiple)).To(BeNumerically("<=", maxIdleFraction))
	}
}

// Guards against the same at a home that replaces a lost one, while three other homes report what the
// teams get from them.
func TestEnginesAreUsedWhileAnotherHomeIsReplaced(t *testing.T) {
	g := NewWithT(t)
	for _, multiple := range []float64{2, 3} {
		s := newBusySimulation(10, fillingCapacity)
		s.remoteUsage = func(team string) dispatch.Usage {
			perSecond := 3.0 * fillingCapacity / fillingFloods
			if team[0] == 's' {
				perSecond = 3 * 9100 / 0.2
			}
			return dispatch.Usage{Window: perSecond * dispatch.DefaultConfig(true).ShareWindow.Seconds(), Recent: perSecond}
		}
		g.Expect(idleFractionAtStart(s, multiple)).To(BeNumerically("<=", maxIdleFraction))
	}
}
