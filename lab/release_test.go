package lab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

// Guards against broken streams that are refused while new requests fill the few engines left of their
// version.
func TestBrokenStreamsGoOnWhileFewEnginesOfTheirVersionAreLeft(t *testing.T) {
	for name, load := range map[string]float64{"usual load": 1, "heavy load": 1.6} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(3) {
				l := lab.GrownLoad(seed)
				l.Scale, l.Duration = load*l.Scale, 20*time.Second
				r := lab.Simulate(l, lab.Fleet{Engines: l.Sheet.Engines, Routers: 6, Release: &lab.Release{OldEngines: 2, Continued: 0.05}}, lab.Home)
				t.Logf("seed %d: %.3f of the continued streams begin, %.3f of the new ones", seed, r.ContinuedBegun, r.NewBegun)
				g.Expect(r.ContinuedBegun).To(BeNumerically(">=", r.NewBegun/2), "seed %d", seed)
			}
		})
	}
}
