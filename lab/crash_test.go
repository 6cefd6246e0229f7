package lab_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/eventstream"
	"github.com/aspenswitch/aspenswitch/lab"
)

// crashing is a part on which engines crash from 4 s on, in 3 of 100 requests.
func crashing() *lab.CrashingPart {
	return &lab.CrashingPart{
		Class: 0, Session: 1, Fraction: 0.03, From: 4 * time.Second, Restart: 700 * time.Millisecond,
		Framing: eventstream.Connection, CutInEvent: true,
	}
}

func simulateCrashes(seed uint64, c *lab.CrashingPart) lab.Result {
	f := fleet
	f.CrashingPart = c
	return lab.Simulate(calm(seed), f, lab.Home)
}

// maxLateSends is how many requests with a crashing part may be sent later than 3 s after the fifth
// crash.
const maxLateSends = 3

// Guards against a crashing part that is sent on, or that takes harmless parts into quarantine.
func TestCrashingPartIsNoLongerSent(t *testing.T) {
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := NewWithT(t)
			without := crashing()
			without.Disabled = true
			with, base := simulateCrashes(seed, crashing()), simulateCrashes(seed, without)
			t.Logf("%+v, worth %.3f; without quarantine %+v, worth %.3f", with.Crash, with.Worth, base.Crash, base.Worth)
			g.Expect(with.Crash.Crashes).To(BeNumerically(">=", 3))
			g.Expect(with.Crash.SentLate).To(BeNumerically("<=", maxLateSends))
			g.Expect(base.Crash.SentLate).To(BeNumerically(">", maxLateSends))
			g.Expect(with.Worth).To(BeNumerically(">", base.Worth))
		})
	}
}

// Guards against streams that are cut inside an event and taken for complete, by any framing.
func TestStreamsOfCrashedEnginesAreNotTakenForComplete(t *testing.T) {
	for _, framing := range []eventstream.Framing{eventstream.Length, eventstream.Chunked, eventstream.Connection} {
		t.Run(framing.String(), func(t *testing.T) {
			g := NewWithT(t)
			c := crashing()
			c.Framing = framing
			r := simulateCrashes(1, c).Crash
			g.Expect(r.Interrupted).To(BeNumerically(">", 0))
			g.Expect(r.SeemComplete).To(Equal(0))
		})
	}
}

// Guards against releasing a part that was harmless until shortly before its first crash.
func TestPartThatWasHarmlessUntilItsFirstCrashStaysInQuarantine(t *testing.T) {
	g := NewWithT(t)
	sheet := lab.BuiltinSheet("vilaine-grown").PerHome(4)
	f := sheet.Fleet()
	f.CrashingPart = crashing()
	f.CrashingPart.Class, f.CrashingPart.Session = 1, 5
	r := lab.Simulate(lab.Load{Sheet: sheet, Scale: 0.6, Duration: 20 * time.Second, Seed: 5}, f, lab.Home)
	g.Expect(r.Crash.SentLate).To(BeNumerically("<=", maxLateSends), "%+v", r.Crash)
}
