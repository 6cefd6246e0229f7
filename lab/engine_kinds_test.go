package lab_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

// kindEngines is the number of engines in a simulation of one kind of engine.
const kindEngines = 6

// kindLoad returns a load of the given fraction of what engines of one kind can serve.
func kindLoad(kind lab.EngineModel, fraction float64, seed uint64) lab.Load {
	sheet := *lab.BuiltinSheet("midlands")
	sheet.Engine, sheet.Engines = kind, kindEngines
	scale := fraction * capacityScale(&sheet, min(fraction, 0.8))
	sheet.TokensPerSecond = 0
	for _, c := range sheet.Classes {
		sheet.TokensPerSecond += scale / fraction * c.PerSecond * (c.GroupTokens + c.SessionTokens + c.OwnTokens + 2*c.OutputTokens)
	}
	return lab.Load{Sheet: &sheet, Scale: scale, Duration: 20 * time.Second, Seed: seed}
}

// cacheFraction is the fraction of the KV memory that is left for cached parts.
const cacheFraction = 0.6

// capacityScale returns the multiple of the sheet's request rates at which its engines have
// something to prefill all the time, or all slots in use. prefilling is the fraction of the
// time in which they prefill.
func capacityScale(s *lab.Sheet, prefilling float64) float64 {
	m := &s.Engine
	shared, speed := 0.0, 0.0
	for _, c := range s.Classes {
		shared += float64(c.Groups)*c.GroupTokens + float64(c.Sessions)*c.SessionTokens
	}
	for _, x := range m.Speeds {
		speed += float64(s.Engines) / x / float64(len(m.Speeds))
	}
	// hit is the fraction of the shared parts that are cached.
	hit := min(1, cacheFraction*float64(m.KVTokens)*float64(s.Engines)/shared)
	scale := 1.0
	// The time of a step depends on the number of streams, and that on the scale.
	for range 20 {
		prefill, streams, contextK := 0.0, 0.0, 0.0
		stepMs := m.StepMs
		// The step takes longer with more streams, and the streams last longer with it.
		for range 20 {
			streams, contextK = 0, 0
			for _, c := range s.Classes {
				n := scale / speed * c.PerSecond * c.OutputTokens * stepMs / 1000 / (1 - prefilling)
				streams += n
				contextK += n * (c.GroupTokens + c.SessionTokens + c.OwnTokens) / 1000
			}
			streams = min(streams, float64(m.Slots))
			stepMs = m.StepMs + m.StepMsPerSlot*streams + m.ContextMsPerK*min(contextK, float64(m.KVTokens)/1000)
		}
		for _, c := range s.Classes {
			tokens := c.OwnTokens + (1-hit)*(c.GroupTokens+c.SessionTokens)
			cached := c.GroupTokens + c.SessionTokens + c.OwnTokens - tokens
			ms := m.PromptWorkMs + tokens/m.TokensPerMs + tokens*(cached+tokens/2)*m.PairsMsPerM/1e6 + max(tokens/float64(m.ChunkTokens), 0.5)*stepMs
			prefill += c.PerSecond * ms / 1000
		}
		scale = (scale + speed/prefill*min(1, float64(m.Slots)/max(streams, 1))) / 2
	}
	return scale
}

// midlandsEngine returns the engine of the sheet that the default configuration is for.
func midlandsEngine() lab.EngineModel { return lab.BuiltinSheet("midlands").Engine }

// Guards against engines that are left idle because the model of an engine was made for
// another kind: a fixed delay that overlaps with other requests is taken for work.
func TestEnginesOfOtherKindsAreUsed(t *testing.T) {
	kinds := map[string]func(*lab.EngineModel){
		"configured kind": func(*lab.EngineModel) {},
		"fixed delay":     func(m *lab.EngineModel) { m.FirstTokenDelayMs = 110 },
		"work per prompt": func(m *lab.EngineModel) { m.PromptWorkMs = 40 },
		"twice as fast":   func(m *lab.EngineModel) { m.TokensPerMs *= 2; m.PairsMsPerM /= 2; m.StepMs /= 2 },
		"a third as fast": func(m *lab.EngineModel) { m.TokensPerMs /= 3; m.PairsMsPerM *= 3; m.ChunkTokens = 512 },
	}
	for name, change := range kinds {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			kind := midlandsEngine()
			change(&kind)
			served, possible, onTime := 0.0, 0.0, 0.0
			const draws = 8
			var l lab.Load
			for seed := range uint64(draws) {
				l = kindLoad(kind, 0.8, seed)
				r := lab.Simulate(l, l.Sheet.Fleet(), lab.Home)
				served += r.Worth / draws
				onTime += r.OnTime / draws
				possible += lab.Simulate(l, l.Sheet.Fleet(), lab.Omniscient).Worth / draws
			}
			t.Logf("scale %.2f: served %.3f of %.3f possible, %.3f in time", l.Scale, served, possible, onTime)
			g.Expect(served).To(BeNumerically(">", 0.95*possible))
		})
	}
}
