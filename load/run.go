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

// drainTime is how long callers may still wait for answers after the last
// request was sent.
const drainTime = 30 * time.Second

// Run sends the plan's load and returns the checked report.
func Run(ctx context.Context, p *Plan) *Result {
	result := newResult(p)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Duration)+drainTime)
	defer cancel()
	before := p.controlBytes()
	began := time.Now()
	var wg sync.WaitGroup
	for i := range p.Teams {
		wg.Go(func() { p.runTeam(ctx, i, result) })
	}
	time.Sleep(time.Duration(p.Duration))
	result.ControlBytesPerSecond = p.controlRate(before, time.Since(began))
	result.readService(p)
	wg.Wait()
	result.Seconds = time.Since(began).Seconds()
	result.checkRuns(p)
	for _, t := range result.Teams {
		t.summarise()
	}
	return result
}

// runTeam sends requests at random times of the team's rate, whether earlier
// ones are answered or not.
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

// adminGet reads from every operators' API that answers.
func adminGet[T any](p *Plan, path string) map[string]T {
	all := map[string]T{}
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
			all[base] = v
		}
		_ = resp.Body.Close()
	}
	return all
}

func (p *Plan) controlBytes() map[string]admin.Status { return adminGet[admin.Status](p, "/status") }

// controlRate is the mean of the routers' bytes to peers a second.
func (p *Plan) controlRate(before map[string]admin.Status, took time.Duration) float64 {
	sum, routers := 0.0, 0
	for base, s := range p.controlBytes() {
		if b, ok := before[base]; ok && s.PeerBytes >= b.PeerBytes {
			sum += float64(s.PeerBytes - b.PeerBytes)
			routers++
		}
	}
	if routers == 0 {
		return 0
	}
	return sum / float64(routers) / took.Seconds()
}

// readService takes the teams' service from a router's accounts, and the gap
// between those that wait.
func (r *Result) readService(p *Plan) {
	for _, pools := range adminGet[[]sched.PoolDump](p, "/teams") {
		for _, pool := range pools {
			r.poolService(pool)
		}
		return
	}
}

func (r *Result) poolService(pool sched.PoolDump) {
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
		weighted := (t.Service + t.Lift) / r.Teams[i].Share
		if !found {
			low, high, found = weighted, weighted, true
		}
		low, high = min(low, weighted), max(high, weighted)
	}
	r.FairnessGap = max(r.FairnessGap, high-low)
}

// checkRuns compares the services' own counts with what callers were told.
func (r *Result) checkRuns(p *Plan) {
	runs := map[string]int{}
	for _, base := range p.Services {
		resp, err := http.Get(base + "/control/runs")
		if err != nil {
			continue
		}
		var one map[string]int
		if json.NewDecoder(resp.Body).Decode(&one) == nil {
			for key, n := range one {
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
		for key, outcome := range t.keys {
			if outcome == string(NotRun) && runs[key] > 0 {
				r.FalseNotRun = append(r.FalseNotRun, key)
			}
		}
	}
}
