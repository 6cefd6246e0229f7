package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/admin"
	"github.com/aspenswitch/aspenswitch/sched"
)

// drainTimeout is how long callers wait for outstanding responses after the plan's
// duration has passed.
const drainTimeout = 30 * time.Second

// Run sends the plan's load and returns the results, checked against the run counts
// of the services.
func Run(ctx context.Context, p *Plan) *Result {
	result := newResult(p)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Duration)+drainTimeout)
	defer cancel()
	before := p.routerStatuses()
	start := time.Now()
	var wg sync.WaitGroup
	for i := range p.Teams {
		wg.Go(func() { p.runTeam(ctx, i, result) })
	}
	time.Sleep(time.Duration(p.Duration))
	result.ControlBytesPerSecond = p.peerBytesPerSecond(before, time.Since(start))
	result.readFairness(p)
	wg.Wait()
	result.Seconds = time.Since(start).Seconds()
	result.checkRuns(p)
	for _, t := range result.Teams {
		t.summarize()
	}
	return result
}

// runTeam sends the team's requests as an open-loop Poisson process: a request is
// sent at its time whether or not earlier ones have been answered.
func (p *Plan) runTeam(ctx context.Context, team int, result *Result) {
	t := p.Teams[team]
	rng := rand.New(rand.NewPCG(p.Seed, uint64(team)))
	c := &caller{team: t, routers: p.Routers, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
	if t.Router > 0 {
		c.sticky = true
		c.routers = append(append([]string{}, p.Routers[t.Router-1:]...), p.Routers[:t.Router-1]...)
	}
	defer c.http.CloseIdleConnections()
	end := time.Now().Add(time.Duration(p.Duration))
	var wg sync.WaitGroup
	next := time.Now()
	for n := uint64(0); ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / t.Rate * float64(time.Second)))
		stream := rng.Float64() < t.StreamFraction
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		wg.Go(func() { result.add(team, c.do(ctx, n, stream)) })
	}
	wg.Wait()
}

// adminGet reads path from the operators' API of each router and returns the decoded
// responses by base URL. Routers without a valid response are left out.
func adminGet[T any](p *Plan, path string) map[string]T {
	responses := map[string]T{}
	client := &http.Client{Timeout: 2 * time.Second}
	for _, base := range p.Admins {
		req, err := http.NewRequest(http.MethodGet, base+path, nil)
		if err != nil {
			continue
		}
		req.Header.Set("Authorization", "Bearer "+p.AdminToken)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		var v T
		if json.NewDecoder(resp.Body).Decode(&v) == nil {
			responses[base] = v
		}
		_ = resp.Body.Close()
	}
	return responses
}

func (p *Plan) routerStatuses() map[string]admin.Status { return adminGet[admin.Status](p, "/status") }

// peerBytesPerSecond returns the mean rate at which a router has sent bytes to its peers
// since the statuses in before were read. Routers that restarted in between or don't
// respond are left out.
func (p *Plan) peerBytesPerSecond(before map[string]admin.Status, elapsed time.Duration) float64 {
	sum, routers := 0.0, 0
	for base, s := range p.routerStatuses() {
		if b, ok := before[base]; ok && s.PeerBytes >= b.PeerBytes {
			sum += float64(s.PeerBytes - b.PeerBytes)
			routers++
		}
	}
	if routers == 0 {
		return 0
	}
	return sum / float64(routers) / elapsed.Seconds()
}

// readFairness reads the teams' service from the accounts of one router that responds,
// and the fairness gap between teams with waiting requests.
func (r *Result) readFairness(p *Plan) {
	for _, pools := range adminGet[[]sched.PoolDump](p, "/teams") {
		for _, pool := range pools {
			r.addPool(pool)
		}
		return
	}
}

// addPool adds the service of the pool's teams, which are matched by position to the
// teams of the plan, and raises the fairness gap to that of the pool.
func (r *Result) addPool(pool sched.PoolDump) {
	low, high := 0.0, 0.0
	found := false
	for i, t := range pool.Teams {
		if i >= len(r.Teams) {
			break
		}
		r.Teams[i].Service += t.Service
		if t.Waiting == 0 {
			continue
		}
		normalized := (t.Service + t.Lift) / r.Teams[i].Share
		if !found {
			low, high, found = normalized, normalized, true
		}
		low, high = min(low, normalized), max(high, normalized)
	}
	r.FairnessGap = max(r.FairnessGap, high-low)
}

// checkRuns compares the services' own run counts with the outcomes that callers
// received: no key may run twice, and none that was reported as not run may have run.
func (r *Result) checkRuns(p *Plan) {
	runs := map[string]int{}
	for _, base := range p.Services {
		resp, err := http.Get(base + "/control/runs")
		if err != nil {
			continue
		}
		var counts map[string]int
		if json.NewDecoder(resp.Body).Decode(&counts) == nil {
			for key, n := range counts {
				runs[key] += n
			}
		}
		_ = resp.Body.Close()
	}
	for key, n := range runs {
		if n > 1 {
			r.RepeatedRuns = append(r.RepeatedRuns, key)
		}
	}
	for _, t := range r.Teams {
		for key, outcome := range t.outcomeByKey {
			if outcome == string(NotRun) && runs[key] > 0 {
				r.FalseNotRun = append(r.FalseNotRun, key)
			}
		}
	}
}
