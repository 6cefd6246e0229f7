package lab_test

import (
	"cmp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/lab"
)

// domainFleet is one group of a deployment in several failure domains.
type domainFleet struct {
	sheet          string
	homes, domains int
	// seeds is the number of seeds whose results are averaged, 0 for domainSeeds.
	seeds uint64
}

// domainFleets have groups of 22 and 17 engines.
var domainFleets = []domainFleet{{sheet: "ledger", homes: 4, domains: 3}, {sheet: "helpline", homes: 8, domains: 4}}

// domainSeeds is the usual number of seeds.
const domainSeeds = 6

// simulate returns the mean result of a load with and without locality.
func (d domainFleet) simulate(scale float64, entry func(int, float64) int, outages []lab.EngineOutage) (without, with lab.Result) {
	sheet := lab.BuiltinSheet(d.sheet).PerHome(d.homes)
	seeds := cmp.Or(d.seeds, domainSeeds)
	mean := func(locality bool) (sum lab.Result) {
		fleet := lab.Fleet{
			Engines: sheet.Engines, Routers: 6, EngineOutages: outages,
			Domains: &lab.Domains{Count: d.domains, Locality: locality, Entry: entry},
		}
		for seed := range seeds {
			r := lab.Simulate(lab.Load{Sheet: sheet, Scale: scale, Duration: 16 * time.Second, Seed: seed, MaxRetries: 1}, fleet, lab.Home)
			sum.Worth += r.Worth / float64(seeds)
			sum.FarBytes += r.FarBytes / float64(seeds)
			sum.Copied += r.Copied / float64(seeds)
			sum.RedundantPrefill += r.RedundantPrefill / float64(seeds)
		}
		return sum
	}
	return mean(false), mean(true)
}

func logDomains(t *testing.T, name string, without, with lab.Result) {
	t.Helper()
	t.Logf("%s: worth %.3f, with locality %.3f; bytes between domains %.0f, %.0f; prefilled again %.4f, %.4f; copied %.3f, %.3f",
		name, without.Worth, with.Worth, without.FarBytes, with.FarBytes, without.RedundantPrefill, with.RedundantPrefill, without.Copied, with.Copied)
}

const (
	// maxFarBytes is the largest fraction of the bytes between domains that locality leaves, and
	// maxRedundant the largest ratio of the prefill that it repeats.
	maxFarBytes, maxRedundant = 1.0 / 3, 1.5
	// worthNoise is twice the standard error of the difference between two means over the seeds,
	// which is about 0.01.
	worthNoise = 0.02
)

// Guards against requests that cross between domains that have room for them, and against sessions
// that are prefilled in each domain.
func TestRequestsStayInTheirFailureDomain(t *testing.T) {
	g := NewWithT(t)
	for _, d := range domainFleets {
		without, with := d.simulate(0.6, nil, nil)
		logDomains(t, d.sheet, without, with)
		g.Expect(with.FarBytes).To(BeNumerically("<=", maxFarBytes*without.FarBytes))
		g.Expect(with.RedundantPrefill).To(BeNumerically("<=", maxRedundant*without.RedundantPrefill))
		g.Expect(with.Worth).To(BeNumerically(">=", without.Worth-worthNoise))
	}
}

// Guards against a domain that is overloaded while others have room, because its requests are
// many, its engines are lost, or all domains are near their capacity.
func TestDomainsHelpEachOther(t *testing.T) {
	twiceAsMany := func(_ int, draw float64) int { return min(int(3*draw), 2) % 2 }
	for name, c := range map[string]struct {
		scale   float64
		domains int
		entry   func(int, float64) int
		lost    bool
	}{
		"heavy load":          {scale: 0.9},
		"unequal load":        {scale: 0.8, domains: 2, entry: twiceAsMany},
		"a domain is lost":    {scale: 0.6, lost: true},
		"one domain is asked": {scale: 0.6, entry: func(int, float64) int { return 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, d := range domainFleets {
				if c.domains > 0 {
					d.domains = c.domains
				}
				var outages []lab.EngineOutage
				if c.lost {
					// What a group of four engines a domain loses differs more between seeds.
					d.seeds = 2 * domainSeeds
					lost := lab.BuiltinSheet(d.sheet).PerHome(d.homes).Engines / d.domains
					outages = append(outages, lab.EngineOutage{Engines: lost, From: 5 * time.Second, To: 9 * time.Second})
				}
				without, with := d.simulate(c.scale, c.entry, outages)
				logDomains(t, d.sheet, without, with)
				g.Expect(with.Worth).To(BeNumerically(">=", without.Worth-worthNoise))
				g.Expect(with.RedundantPrefill).To(BeNumerically("<=", maxRedundant*without.RedundantPrefill))
				g.Expect(with.FarBytes).To(BeNumerically("<", without.FarBytes))
			}
		})
	}
}

// Guards against teams that get less because all of their callers enter one domain.
func TestTeamsOfOneDomainGetAsMuchAsOthers(t *testing.T) {
	g := NewWithT(t)
	for _, seed := range seeds {
		l := lab.GrownLoad(seed)
		floods := map[int]int{0: 0, 2: 0, 6: 1, 11: 2}
		entry := func(team int, draw float64) int {
			if domain, found := floods[team]; found {
				return domain
			}
			return int(3 * draw)
		}
		r := lab.Simulate(l, lab.Fleet{Engines: l.Sheet.Engines, Routers: 6, Domains: &lab.Domains{Count: 3, Locality: true, Entry: entry}}, lab.Home)
		g.Expect(r.FairnessRatio).To(BeNumerically(">", minFairnessRatio), "seed %d", seed)
		g.Expect(r.SmallTeamsWorth).To(BeNumerically(">", 0.85), "seed %d", seed)
	}
}
