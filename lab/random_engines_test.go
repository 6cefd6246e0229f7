package lab_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

// randomEngines is the number of kinds of engines drawn. A table of thirty is in docs/design.
var randomEngines = flag.Int("random-engines", 6, "number of kinds of engines to draw")

// randomEngine draws a kind of engine.
func randomEngine(seed uint64) lab.EngineModel {
	rnd := rand.New(rand.NewPCG(seed, 11))
	// Factors are drawn evenly on a logarithmic scale.
	between := func(low, high float64) float64 { return low * math.Pow(high/low, rnd.Float64()) }
	m := midlandsEngine()
	rate := between(0.3, 3)
	m.TokensPerMs *= rate
	m.PairsMsPerM /= rate
	m.FirstTokenDelayMs = 200 * rnd.Float64()
	m.Slots = int(between(8, 256))
	m.StepMs = between(2, 20)
	m.ChunkTokens = int(between(512, 8192))
	m.KVTokens = int(between(50e3, 500e3))
	return m
}

// Guards against a model of engines that fits only the configured kind: the worth served by a
// home, relative to that of a core that has the engines' parameters, over kinds and loads.
func TestRandomEnginesAreUsed(t *testing.T) {
	g := NewWithT(t)
	var ratios []float64
	for seed := range uint64(*randomEngines) {
		kind := randomEngine(seed)
		for _, fraction := range []float64{0.5, 0.9, 1.3} {
			l := kindLoad(kind, fraction, seed)
			r, best := lab.Simulate(l, l.Sheet.Fleet(), lab.Home), lab.Simulate(l, l.Sheet.Fleet(), lab.Omniscient)
			ratios = append(ratios, r.Worth/best.Worth)
			t.Logf("seed %d load %.1f: %.1f tokens/ms, delay %.0f ms, %d slots, step %.1f ms, chunk %d, %dk KV: served %.3f of %.3f",
				seed, fraction, kind.TokensPerMs, kind.FirstTokenDelayMs, kind.Slots, kind.StepMs, kind.ChunkTokens, kind.KVTokens/1000, r.Worth, best.Worth)
		}
	}
	slices.Sort(ratios)
	median, worstTenth := ratios[len(ratios)/2], ratios[len(ratios)/10]
	t.Logf("median %.3f, worst tenth %.3f, worst %.3f", median, worstTenth, ratios[0])
	g.Expect(median).To(BeNumerically(">", 0.95))
	g.Expect(worstTenth).To(BeNumerically(">", 0.85))
}
