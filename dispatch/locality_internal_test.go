package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests that are refused because of distance, and against placements in another
// domain although an upstream of the request's own has room and isn't worse by the distance.
func TestDistanceOnlyChoosesAmongUpstreamsThatAdmit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig(rapid.Bool().Draw(rt, "engine"))
		cfg.Locality = true
		c := New(cfg)
		var members []Member
		for i := range rapid.IntRange(1, 8).Draw(rt, "upstreams") {
			members = append(members, Member{
				Incarnation: Incarnation{ID: fmt.Sprint("u", i)}, Slots: rapid.IntRange(1, 8).Draw(rt, "slots"), KVTokens: 60000,
				CopyPerToken: rapid.SampledFrom([]time.Duration{0, 4 * time.Microsecond}).Draw(rt, "copy"), Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"),
			})
		}
		c.SetMembers(0, members)
		now := time.Second
		for seq := range uint64(80) {
			now += time.Duration(rapid.IntRange(0, 40).Draw(rt, "gap")) * time.Millisecond
			session := rapid.Uint64Range(1, 6).Draw(rt, "session")
			r := Request{
				Ticket: Ticket{Seq: seq}, Team: "t", Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "from"), Prompt: 6000, Output: 40,
				Parts:  []Part{{ID: session, Tokens: 4000}, {ID: 1000 + seq, Tokens: 2000}},
				Target: time.Duration(rapid.IntRange(50, 900).Draw(rt, "target")) * time.Millisecond, Timeout: 5 * time.Second,
			}
			if rapid.Bool().Draw(rt, "retried") {
				r.Avoid = []string{members[0].ID}
			}
			checkPlacement(rt, c, now, c.newJob(now, r))
			c.SetLocality(true)
			for _, d := range c.Submit(now, r) {
				if d.Verdict == Send && rapid.Bool().Draw(rt, "ends") {
					c.Started(now, d.Ticket)
					c.Done(now, d.Ticket, Served, 50*time.Millisecond)
				}
			}
			c.Tick(now)
		}
	})
}

// checkPlacement compares the choices for a job with and without locality.
func checkPlacement(rt *rapid.T, c *Core, now time.Duration, j *job) {
	c.best(now, j) // brings the predictions up to now
	c.SetLocality(false)
	plain, _ := c.best(now, j)
	c.SetLocality(true)
	local, _ := c.best(now, j)
	if plain.admitted != local.admitted {
		rt.Fatalf("admitted: %v without locality, %v with it", plain.admitted, local.admitted)
	}
	if !plain.admitted && plain != local {
		rt.Fatalf("another refusal: %+v, %+v", plain, local)
	}
	if local != plain && (local.u.Domain != j.Domain || plain.u.Domain == j.Domain) {
		rt.Fatalf("%s in %s replaces %s in %s for a request in %s", local.u.ID, local.u.Domain, plain.u.ID, plain.u.Domain, j.Domain)
	}
	if !local.admitted || local.u.Domain == j.Domain || !c.cfg.Engine {
		return
	}
	plans := c.prefillPlans(now, j)
	lowest := slices.MinFunc(plans, func(a, b prefillPlan) int { return cmp.Compare(a.cost, b.cost) }).cost
	var near choice
	for i, u := range c.upstreams {
		candidate := c.evaluate(now, u, j, plans[i].cost, plans[i].cost-lowest)
		candidate.plan = plans[i]
		if c.eligible(now, u, j) && u.Domain == j.Domain && !u.full(j.reservedKV) && c.admit(now, j, candidate) && (near.u == nil || candidate.score < near.score) {
			near = candidate
		}
	}
	if near.u == nil {
		return
	}
	work := c.extraWork(j, plain, near)
	if work > 0 && !c.justifiesCopy(now, j, work) {
		return
	}
	if cost := time.Duration((1 + c.cfg.RecomputeWeight) * float64(work)); near.score-cost < local.score+c.distance(j, plain.u, near.u) {
		rt.Fatalf("%s (score %v, %v to copy) isn't used, but %s (score %v)", near.u.ID, near.score, work, local.u.ID, local.score)
	}
}
