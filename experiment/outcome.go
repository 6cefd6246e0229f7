package experiment

import (
	"slices"
	"sync"
)

// Outcome holds the measurements of one design under one load.
type Outcome struct {
	Design string `json:"design"`
	// Gap is the largest weighted service gap between two backlogged teams over the run,
	// MeanGap the mean of the largest gaps of all ten-second windows, both in slot seconds per
	// unit of share.
	Gap     float64 `json:"gap"`
	MeanGap float64 `json:"meanGap"`
	// Utilisation is busy slot time divided by busy slot time plus slot time idle beside a
	// waiting request. StrictUtilisation is busy slot time divided by all slot time while any
	// request waits.
	Utilisation       float64 `json:"utilisation"`
	StrictUtilisation float64 `json:"strictUtilisation"`
	// ControlBytes and ControlBytesPlain are the control traffic of one node, compressed and
	// uncompressed, in bytes per second; Messages is its number of messages per second.
	ControlBytes      float64 `json:"controlBytes"`
	ControlBytesPlain float64 `json:"controlBytesPlain"`
	Messages          float64 `json:"messages"`
	// ControlCPU is the CPU of one node's decisions in cores, message encoding and decoding
	// included.
	ControlCPU float64 `json:"controlCPU"`
	// SmallWaitP99 is the 99th percentile wait, in seconds, of small teams whose demand is below
	// their fair share.
	SmallWaitP99 float64 `json:"smallWaitP99"`
	// Waiting is the number of requests waiting at the end of the run.
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
		Gap:               r.meter.runGap.gap,
		MeanGap:           r.meter.meanGap(),
		Utilisation:       r.meter.utilisation(),
		StrictUtilisation: r.meter.strictUtilisation(),
		ControlBytes:      float64(sum(r.traffic.compressed)) / nodeSeconds,
		ControlBytesPlain: float64(sum(r.traffic.uncompressed)) / nodeSeconds,
		Messages:          float64(r.traffic.messages) / nodeSeconds,
		ControlCPU:        r.cpu.Seconds() / nodeSeconds,
		SmallWaitP99:      r.smallTeamWait(),
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

// smallTeamWait returns the p99 wait of small teams with a demand below their fair share.
func (r *run) smallTeamWait() float64 {
	var waits []float64
	for i, t := range r.load.Teams {
		if t.Router >= 0 && t.Demand < 1 {
			waits = append(waits, r.meter.teams[i].waits...)
		}
	}
	return percentile(waits, 0.99)
}

// RunSeeds measures a design under the loads of several seeds in parallel and returns the
// mean of each measurement.
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

// WithFlood returns the load without off-peak phases and with the first team's demand
// multiplied by times.
func (l Load) WithFlood(times float64) Load {
	l.PhaseLength = 0
	l.Teams = slices.Clone(l.Teams)
	l.Teams[0].Demand *= times
	return l
}
