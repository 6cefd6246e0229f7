package fairness_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/fairness"
)

var start = time.Unix(1_700_000_000, 0)

func accounts(shares ...float64) *fairness.Accounts {
	a := fairness.NewAccounts(fairness.DefaultConfig(), 1)
	for i, share := range shares {
		a.SetShare(fairness.TeamID(i+1), share)
	}
	return a
}

// A team is idle while another is served. When it becomes backlogged it must not
// be served alone to catch up: after one first turn, both teams alternate.
func TestIdleTimeIsNoCredit(t *testing.T) {
	g := NewWithT(t)
	a := accounts(1, 1)
	now := start
	serve := func() fairness.TeamID {
		c, _ := a.NextLocal(now)
		a.Start(now, c.Team)
		started := now
		now = now.Add(time.Second)
		a.End(now, c.Team, started)
		return c.Team
	}
	a.Activate(now, 1)
	a.SetWaiting(now, 1, 1)
	for range 100 {
		serve()
	}
	a.Activate(now, 2)
	a.SetWaiting(now, 2, 1)
	turns := map[fairness.TeamID]int{}
	for range 20 {
		turns[serve()]++
	}
	g.Expect(turns[1]).To(BeNumerically("~", 10, 1))
}

// The queue of a team that is behind empties for a moment. The team must stay
// owed the same service; otherwise its gap grows each time this happens.
func TestMomentWithoutQueueKeepsWhatIsOwed(t *testing.T) {
	g := NewWithT(t)
	a := accounts(1, 1)
	now := start
	for _, team := range []fairness.TeamID{1, 2} {
		a.Activate(now, team)
		a.SetWaiting(now, team, 1)
	}
	a.Start(now, 2)
	a.End(now.Add(5*time.Second), 2, now)
	now = now.Add(5 * time.Second)
	owed := a.Key(now, 2) - a.Key(now, 1)
	a.SetWaiting(now, 1, 0)
	a.Activate(now, 1)
	a.SetWaiting(now, 1, 1)
	g.Expect(a.Key(now, 2) - a.Key(now, 1)).To(BeNumerically("~", owed, 1e-9))
}

// After a partition heals, one team is far ahead of another. The one behind must
// be lifted to within MaxLag, so that the other is not starved until the gap is
// repaid.
func TestGapOfAPartitionIsForgivenBeyondABound(t *testing.T) {
	g := NewWithT(t)
	a := accounts(1, 1)
	for _, team := range []fairness.TeamID{1, 2} {
		a.Activate(start, team)
		a.SetWaiting(start, team, 1)
	}
	a.Merge(start, "vm2", 1, []fairness.Entry{{Team: 2, Usage: fairness.Usage{Service: 10_000}}})
	a.ClampLag(start)
	g.Expect(a.Key(start, 2) - a.Key(start, 1)).To(BeNumerically("~", fairness.DefaultConfig().MaxLag, 1e-6))
}

// A router restarts and its new incarnation reports from zero. The service of
// the old incarnation must still count, exactly once.
func TestNewIncarnationKeepsTheOldService(t *testing.T) {
	g := NewWithT(t)
	a := accounts(1)
	report := func(incarnation uint64, service float64) {
		a.Merge(start, "vm2", incarnation, []fairness.Entry{{Team: 1, Usage: fairness.Usage{Service: service}}})
	}
	report(1, 50)
	report(2, 0)
	g.Expect(a.Key(start, 1)).To(Equal(50.0))
	report(2, 7)
	report(2, 7)
	g.Expect(a.Key(start, 1)).To(Equal(57.0))
}

// A router falls silent with requests running. Its teams must be charged for
// MaxExtrapolation and no longer, since the requests may have ended.
func TestSilentRoutersRateIsAssumedForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	a := accounts(1)
	a.Merge(start, "vm2", 1, []fairness.Entry{{Team: 1, Usage: fairness.Usage{Service: 10, Running: 2}}})
	residual := a.Key(start, 1) - 10
	limit := fairness.DefaultConfig().MaxExtrapolation
	g.Expect(a.Key(start.Add(time.Second), 1)).To(BeNumerically("~", 12+residual, 1e-9))
	g.Expect(a.Key(start.Add(time.Hour), 1)).To(BeNumerically("~", 10+2*limit.Seconds()+residual, 1e-9))
}

// Reports reach two routers in different orders, some of them twice. Both
// routers must compute the same keys.
func TestMergesCommuteAndRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			router  string
			service float64
		}
		var all []message
		last := map[string]float64{}
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			r := rapid.SampledFrom([]string{"vm1", "vm2", "vm3"}).Draw(t, "router")
			last[r] += rapid.Float64Range(0, 10).Draw(t, "step")
			all = append(all, message{r, last[r]})
		}
		merge := func(order []message) float64 {
			a := accounts(2)
			for _, m := range order {
				a.Merge(start, m.router, 1, []fairness.Entry{{Team: 1, Usage: fairness.Usage{Service: m.service}}})
			}
			return a.Key(start, 1)
		}
		duplicated := append(rapid.Permutation(all).Draw(t, "order"), rapid.SampledFrom(all).Draw(t, "again"))
		if x, y := merge(all), merge(duplicated); math.Abs(x-y) > 1e-9 {
			t.Fatalf("keys %g and %g", x, y)
		}
	})
}

// Between reports, the extrapolation of peers must not be off by more than
// ReportError: the fairness bound of the fleet depends on it.
func TestPeersErrByAtMostTheReportError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := fairness.DefaultConfig()
		cfg.PrechargeRatio = 0
		a := fairness.NewAccounts(cfg, 1)
		a.SetShare(1, 1)
		peer := fairness.NewAccounts(cfg, 1)
		peer.SetShare(1, 1)
		now := start
		var running []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "start") {
				a.Start(now, 1)
				running = append(running, now)
			} else if len(running) > 0 {
				a.End(now, 1, running[0])
				running = running[1:]
			}
			if due := a.DueEntries(now, false); len(due) > 0 {
				peer.Merge(now, "vm1", 1, due)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if due := a.DueEntries(now, false); len(due) > 0 {
				peer.Merge(now, "vm1", 1, due)
			}
			if e := math.Abs(a.Key(now, 1) - peer.Key(now, 1)); e > cfg.ReportError+0.02 {
				t.Fatalf("peers err by %g", e)
			}
		}
	})
}

func FuzzEntry(f *testing.F) {
	f.Add([]byte(`[1,200,3,4]`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e fairness.Entry
		if json.Unmarshal(raw, &e) != nil {
			return
		}
		again, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		var back fairness.Entry
		if err := json.Unmarshal(again, &back); err != nil || back != e {
			t.Fatalf("%s became %s: %v", raw, again, err)
		}
	})
}
