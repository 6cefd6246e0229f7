package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// weighted is a kind of fault with how often it is drawn and how long it lasts.
type weighted struct {
	kind     FaultKind
	weight   int
	min, max time.Duration
}

// menu has all kinds but those of upstreamMenu. Changes are drawn most, since faults matter most beside
// them; a herd kill leaves nothing to check for seconds and is rare.
var menu = []weighted{
	{RouterKill, 6, 100 * time.Millisecond, 2 * time.Second},
	{RouterPause, 8, 200 * time.Millisecond, 7 * time.Second},
	{RouterStop, 8, 200 * time.Millisecond, time.Second},
	{RouterReload, 4, 0, 0},
	{RouterKillAll, 1, 100 * time.Millisecond, time.Second},
	{CallersDelay, 3, 500 * time.Millisecond, 2 * time.Second},
	{CallersReset, 4, 0, 0},
	{CallersStall, 2, 0, 0},
	{CallersPartition, 3, 300 * time.Millisecond, 3 * time.Second},
	{StoreDelay, 3, 500 * time.Millisecond, 3 * time.Second},
	{StoreReset, 3, 0, 0},
	{StoreStall, 4, 0, 0},
	{StorePartition, 4, 500 * time.Millisecond, 6 * time.Second},
	{StoreDownForRouter, 4, 500 * time.Millisecond, 6 * time.Second},
	{StoreDown, 2, 500 * time.Millisecond, 6 * time.Second},
	{StoreCompact, 3, 0, 0},
	{UpstreamDelay, 3, 300 * time.Millisecond, 2 * time.Second},
	{UpstreamReset, 4, 0, 0},
	{UpstreamStall, 3, 0, 0},
	{UpstreamPartition, 3, 300 * time.Millisecond, 3 * time.Second},
	{UpstreamLeave, 8, time.Second, 3 * time.Second},
	{UpstreamCrash, 6, time.Second, 3 * time.Second},
	{UpstreamGrey, 8, time.Second, 4 * time.Second},
	{KeyChange, 10, 0, 0},
	{RouteMove, 8, 0, 0},
	{RouteAdd, 4, 0, 0},
}

// upstreamMenu has faults that are drawn from a separate random stream, so that faults drawn
// from menu stay the same for a given seed.
var upstreamMenu = []weighted{
	{CrashingRequest, 3, 6 * time.Second, 12 * time.Second},
	{UpstreamNotice, 3, time.Second, 3 * time.Second},
	{UpstreamRetryAfter, 3, 2 * time.Second, 5 * time.Second},
}

// warmUpMenu has faults of warm-ups and failure domains, from a random stream of their own as
// well.
var warmUpMenu = []weighted{
	{UpstreamCold, 4, 0, 0},
	{UpstreamColdRestart, 3, 500 * time.Millisecond, 2 * time.Second},
	{DomainEvacuate, 3, 3 * time.Second, 7 * time.Second},
}

const (
	// upstreamFaultRate is the mean number of faults drawn from upstreamMenu a second.
	upstreamFaultRate = 0.25
	// warmUpFaultRate is the mean number of faults drawn from warmUpMenu a second.
	warmUpFaultRate = 0.3
	// warmUpRandomStream is the random stream for warmUpMenu.
	warmUpRandomStream = 1 << 33
	// upstreamRandomStream is the random stream for upstreamMenu, above the streams of menu (0) and
	// the callers (from 1).
	upstreamRandomStream = 1 << 32
)

// repeatShare is how many faults in a hundred come in series: the same kind again
// within half a second, beside what the first one left.
const repeatShare = 25

// Plan draws the faults of a run. Equal configurations give equal plans.
func Plan(cfg Config) []Fault {
	plan := drawFaults(rand.New(rand.NewPCG(cfg.Seed, 0)), cfg, menu, cfg.Faults)
	if cfg.UpstreamFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, upstreamRandomStream)), cfg, upstreamMenu, upstreamFaultRate)...)
	}
	if cfg.WarmUpFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, warmUpRandomStream)), cfg, warmUpMenu, warmUpFaultRate)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawFaults draws faults from a menu. rate is the mean number a second.
func drawFaults(rnd *rand.Rand, cfg Config, menu []weighted, rate float64) []Fault {
	var plan []Fault
	at := time.Second
	for {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= cfg.Duration {
			return plan
		}
		f := draw(rnd, cfg, menu, at)
		plan = append(plan, f)
		if rnd.IntN(100) < repeatShare {
			f.At += time.Duration(rnd.IntN(int(500 * time.Millisecond)))
			f.Target = target(rnd, cfg, f.Kind)
			plan = append(plan, f)
		}
	}
}

func draw(rnd *rand.Rand, cfg Config, menu []weighted, at time.Duration) Fault {
	total := 0
	for _, w := range menu {
		total += w.weight
	}
	pick := rnd.IntN(total)
	for _, w := range menu {
		if pick -= w.weight; pick >= 0 {
			continue
		}
		f := Fault{At: at, Kind: w.kind, Target: target(rnd, cfg, w.kind), ActiveFor: w.min, Variant: rnd.IntN(1 << 16)}
		if w.max > w.min {
			f.ActiveFor += time.Duration(rnd.Int64N(int64(w.max - w.min)))
		}
		// Nothing lasts into the time in which the fleet must serve as before.
		f.ActiveFor = min(f.ActiveFor, cfg.Duration-at)
		return f
	}
	panic("soak: weights and total differ")
}

// target draws the part that a kind of fault meets.
func target(rnd *rand.Rand, cfg Config, kind FaultKind) int {
	switch kind {
	case UpstreamDelay, UpstreamReset, UpstreamStall, UpstreamPartition, UpstreamLeave, UpstreamCrash, UpstreamGrey, UpstreamNotice, UpstreamRetryAfter, UpstreamCold, UpstreamColdRestart, DomainEvacuate:
		return rnd.IntN(2 * cfg.Upstreams)
	default:
		return rnd.IntN(cfg.Routers)
	}
}
