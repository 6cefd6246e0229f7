package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// weightedFault is a kind of fault with its relative frequency and the range of its
// duration.
type weightedFault struct {
	kind     FaultKind
	weight   int
	min, max time.Duration
}

// baseFaults has all kinds except those of upstreamFaults and warmUpFaults. Configuration
// changes have the highest weights, since faults matter most while a change is applied.
// RouterKillAll is rare, since it leaves nothing to check for seconds.
var baseFaults = []weightedFault{
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

// upstreamFaults has kinds that are drawn from a separate random stream, so that the faults
// drawn from baseFaults stay the same for a given seed.
var upstreamFaults = []weightedFault{
	{CrashingRequest, 3, 6 * time.Second, 12 * time.Second},
	{UpstreamNotice, 3, time.Second, 3 * time.Second},
	{UpstreamRetryAfter, 3, 2 * time.Second, 5 * time.Second},
}

// warmUpFaults has kinds that concern warm-ups and failure domains. They are drawn from
// another separate random stream.
var warmUpFaults = []weightedFault{
	{UpstreamCold, 4, 0, 0},
	{UpstreamColdRestart, 3, 500 * time.Millisecond, 2 * time.Second},
	{DomainEvacuate, 3, 3 * time.Second, 7 * time.Second},
}

// versionFaults has kinds that concern the upstreams' software versions. They are drawn from a
// separate random stream.
var versionFaults = []weightedFault{
	{UpstreamUpgrade, 4, 0, 500 * time.Millisecond},
	{ServiceRelease, 1, 4 * time.Second, 6 * time.Second},
	// Streams break where processes and connections end.
	{UpstreamCrash, 5, 500 * time.Millisecond, 2 * time.Second},
	{CallersReset, 6, 0, 0},
}

// restoreFaults has restores of the store, beside changes that may be lost with them. They are drawn
// from a separate random stream.
var restoreFaults = []weightedFault{
	{StoreRestore, 4, 300 * time.Millisecond, 3 * time.Second},
	{KeyChange, 3, 0, 0},
	{RouteMove, 2, 0, 0},
	{UpstreamLeave, 2, time.Second, 2 * time.Second},
	{StorePartition, 1, 500 * time.Millisecond, 4 * time.Second},
}

// framingFaults has kinds that concern the framing of streams. They are drawn from a separate random
// stream.
var framingFaults = []weightedFault{
	{UpstreamUnframed, 4, 2 * time.Second, 6 * time.Second},
	{UpstreamCrash, 1, 500 * time.Millisecond, 2 * time.Second},
}

// partFaults has requests with a crashing part, beside faults that interrupt other requests. They are
// drawn from a separate random stream.
var partFaults = []weightedFault{
	{PartRequests, 3, 6 * time.Second, 10 * time.Second},
	{UpstreamCrash, 2, 500 * time.Millisecond, 2 * time.Second},
	{RouterKill, 1, 100 * time.Millisecond, time.Second},
}

// floodFaults has floods of connections, beside the loss of routers and of the hubs among them. They
// are drawn from a separate random stream.
var floodFaults = []weightedFault{
	{ConnectionFlood, 4, 3 * time.Second, 8 * time.Second},
	{RouterKill, 1, 100 * time.Millisecond, time.Second},
}

const (
	// floodFaultRate is the mean number of faults per second drawn from floodFaults.
	floodFaultRate = 0.15
	// floodRandomStream is the random stream for floodFaults.
	floodRandomStream = 1 << 38
	// partFaultRate is the mean number of faults per second drawn from partFaults.
	partFaultRate = 0.2
	// partRandomStream is the random stream for partFaults.
	partRandomStream = 1 << 37
	// framingFaultRate is the mean number of faults per second drawn from framingFaults.
	framingFaultRate = 0.3
	// framingRandomStream is the random stream for framingFaults.
	framingRandomStream = 1 << 36
	// restoreFaultRate is the mean number of faults per second drawn from restoreFaults.
	restoreFaultRate = 0.4
	// restoreRandomStream is the random stream for restoreFaults.
	restoreRandomStream = 1 << 35
	// versionFaultRate is the mean number of faults per second drawn from versionFaults.
	versionFaultRate = 0.6
	// versionRandomStream is the random stream for versionFaults.
	versionRandomStream = 1 << 34
	// upstreamFaultRate is the mean number of faults per second drawn from upstreamFaults.
	upstreamFaultRate = 0.25
	// warmUpFaultRate is the mean number of faults per second drawn from warmUpFaults.
	warmUpFaultRate = 0.3
	// warmUpRandomStream is the random stream for warmUpFaults.
	warmUpRandomStream = 1 << 33
	// upstreamRandomStream is the random stream for upstreamFaults, above the streams of
	// baseFaults (0) and the callers (from 1).
	upstreamRandomStream = 1 << 32
)

// repeatPercent is the percentage of faults that are repeated: the same kind follows
// within half a second, while the effects of the first are still present.
const repeatPercent = 25

// Plan draws the faults of a run, ordered by time. Equal configurations give equal plans.
func Plan(cfg Config) []Fault {
	plan := drawFaults(rand.New(rand.NewPCG(cfg.Seed, 0)), cfg, baseFaults, cfg.Faults)
	if cfg.UpstreamFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, upstreamRandomStream)), cfg, upstreamFaults, upstreamFaultRate)...)
	}
	if cfg.WarmUpFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, warmUpRandomStream)), cfg, warmUpFaults, warmUpFaultRate)...)
	}
	if cfg.VersionFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, versionRandomStream)), cfg, versionFaults, versionFaultRate)...)
	}
	if cfg.RestoreFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, restoreRandomStream)), cfg, restoreFaults, restoreFaultRate)...)
	}
	if cfg.FramingFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, framingRandomStream)), cfg, framingFaults, framingFaultRate)...)
	}
	if cfg.PartFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, partRandomStream)), cfg, partFaults, partFaultRate)...)
	}
	if cfg.FloodFaults {
		plan = append(plan, drawFaults(rand.New(rand.NewPCG(cfg.Seed, floodRandomStream)), cfg, floodFaults, floodFaultRate)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawFaults draws faults of the given kinds. rate is the mean number per second.
func drawFaults(rnd *rand.Rand, cfg Config, kinds []weightedFault, rate float64) []Fault {
	var plan []Fault
	at := time.Second
	for {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= cfg.Duration {
			return plan
		}
		f := drawFault(rnd, cfg, kinds, at)
		plan = append(plan, f)
		if rnd.IntN(100) < repeatPercent {
			f.At += time.Duration(rnd.IntN(int(500 * time.Millisecond)))
			f.Target = drawTarget(rnd, cfg, f.Kind)
			plan = append(plan, f)
		}
	}
}

func drawFault(rnd *rand.Rand, cfg Config, kinds []weightedFault, at time.Duration) Fault {
	total := 0
	for _, w := range kinds {
		total += w.weight
	}
	pick := rnd.IntN(total)
	for _, w := range kinds {
		if pick -= w.weight; pick >= 0 {
			continue
		}
		f := Fault{At: at, Kind: w.kind, Target: drawTarget(rnd, cfg, w.kind), ActiveFor: w.min, Variant: rnd.IntN(1 << 16)}
		if w.max > w.min {
			f.ActiveFor += time.Duration(rnd.Int64N(int64(w.max - w.min)))
		}
		// A fault's ActiveFor ends by cfg.Duration, before the settle time, in which the fleet
		// must recover. That of a repeat may end up to 500 ms later, which delays the settle time.
		f.ActiveFor = min(f.ActiveFor, cfg.Duration-at)
		return f
	}
	panic("soak: weights and total differ")
}

// drawTarget draws the index of the router or upstream that a fault targets.
func drawTarget(rnd *rand.Rand, cfg Config, kind FaultKind) int {
	switch kind {
	case UpstreamDelay, UpstreamReset, UpstreamStall, UpstreamPartition, UpstreamLeave, UpstreamCrash, UpstreamGrey, UpstreamNotice, UpstreamRetryAfter, UpstreamCold, UpstreamColdRestart, DomainEvacuate, UpstreamUpgrade, ServiceRelease, UpstreamUnframed:
		return rnd.IntN(2 * cfg.Upstreams)
	default:
		return rnd.IntN(cfg.Routers)
	}
}
