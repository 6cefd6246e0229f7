package soak

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// A seed must always give the same faults, none of which lasts long past Config.Duration, and
// every kind must occur over many seeds.
func TestPlans(t *testing.T) {
	seen := map[FaultKind]bool{}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		cfg := DefaultConfig()
		cfg.FloodFaults = true
		cfg.Seed = rapid.Uint64().Draw(t, "seed")
		plan := Plan(cfg)
		g.Expect(Plan(cfg)).To(Equal(plan))
		for i, f := range plan {
			seen[f.Kind] = true
			g.Expect(f.At + f.ActiveFor).To(BeNumerically("<=", cfg.Duration+cfg.Duration/10))
			g.Expect(f.Target).To(BeNumerically("<", 2*cfg.Upstreams))
			if i > 0 {
				g.Expect(f.At).To(BeNumerically(">=", plan[i-1].At))
			}
		}
	})
	for _, kinds := range [][]weightedFault{baseFaults, upstreamFaults, warmUpFaults, versionFaults, restoreFaults, framingFaults, partFaults, floodFaults} {
		for _, w := range kinds {
			NewWithT(t).Expect(seen).To(HaveKey(w.kind))
		}
	}
}
