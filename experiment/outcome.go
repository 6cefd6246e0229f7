package experiment

import (
	"slices"
	"sync"
)

// Outcome is what one design made of one load.
type Outcome struct {
	Design string `json:"design"`
	// Gap is the largest weighted service gap of the run between two backlogged
	// teams, MeanGap the mean of those in each ten seconds, both in slot seconds
	// per unit of share.
	Gap     float64 `json:"gap"`
	MeanGap float64 `json:"meanGap"`
	// Utilisation is busy slots by busy slots and those that stood idle beside a
	// waiting request; StrictUtilisation is busy slots by all while any waits.
	Utilisation       float64 `json:"utilisation"`
	StrictUtilisation float64 `json:"strictUtilisation"`
	// Control traffic of one node, compressed and plain, in bytes a second.
	ControlBytes      float64 `json:"controlBytes"`
	ControlBytesPlain float64 `json:"controlBytesPlain"`
	Messages          float64 `json:"messages"`
	// ControlCPU is the part of a core that one node's decisions take, coding
	// of messages included.
	ControlCPU float64 `json:"controlCPU"`
	// SmallWaitP99 is the 99th percentile wait of small teams that ask for less
	// than they are owed, in seconds.
	SmallWaitP99 float64 `json:"smallWaitP99"`
	// Waiting is how many requests waited at the end.
	Waiting int `json:"waiting"`

	series [][]float64
}

// Run measures a design under a load.
func Run(l Load, d Design) Outcome {
	r := newRun(l, d)
	r.run()
	nodeSeconds := float64(len(r.nodes)) * l.Duration.Seconds()
	return Outcome{
		Design:            d.Name,
		Gap:               r.meter.whole.gap,
		MeanGap:           r.meter.meanGap(),
		Utilisation:       r.meter.utilisation(),
		StrictUtilisation: r.meter.strictUtilisation(),
		ControlBytes:      float64(sum(r.wire.packed)) / nodeSeconds,
		ControlBytesPlain: float64(sum(r.wire.plain)) / nodeSeconds,
		Messages:          float64(r.wire.messages) / nodeSeconds,
		ControlCPU:        r.cpu.Seconds() / nodeSeconds,
		SmallWaitP99:      r.smallWait(),
		Waiting:           r.meter.waiting,
		series:            r.meter.series,
	}
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}

// smallWait gathers the waits of the small teams below their share.
func (r *run) smallWait() float64 {
	var waits []float64
	for i, t := range r.load.Teams {
		if t.Router >= 0 && t.Demand < 1 {
			waits = append(waits, r.meter.teams[i].waits...)
		}
	}
	return percentile(waits, 0.99)
}

// RunSeeds measures a design under the loads of several seeds at once and
// returns the mean of each figure.
func RunSeeds(load func(seed uint64) Load, seeds int, d Design) Outcome {
	outcomes := make([]Outcome, seeds)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() { outcomes[i] = Run(load(uint64(i)+1), d) })
	}
	wg.Wait()
	mean := Outcome{Design: d.Name, series: outcomes[0].series}
	for _, o := range outcomes {
		mean.add(o, 1/float64(seeds))
	}
	return mean
}

func (o *Outcome) add(other Outcome, weight float64) {
	o.Gap += other.Gap * weight
	o.MeanGap += other.MeanGap * weight
	o.Utilisation += other.Utilisation * weight
	o.StrictUtilisation += other.StrictUtilisation * weight
	o.ControlBytes += other.ControlBytes * weight
	o.ControlBytesPlain += other.ControlBytesPlain * weight
	o.Messages += other.Messages * weight
	o.ControlCPU += other.ControlCPU * weight
	o.SmallWaitP99 += other.SmallWaitP99 * weight
	o.Waiting = max(o.Waiting, other.Waiting)
}

// WithFlood returns the load without quiet phases, in which the first team asks
// for times as much as it did.
func (l Load) WithFlood(times float64) Load {
	l.PhaseLength = 0
	l.Teams = slices.Clone(l.Teams)
	l.Teams[0].Demand *= times
	return l
}
