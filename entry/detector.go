package entry

import "time"

const (
	// sampleInterval is the time between two measurements.
	sampleInterval = 100 * time.Millisecond
	// windowSamples intervals are considered. In two of them callers must be rejected: after a
	// pause of the process, a single interval shows an accept queue that is emptied at once. An
	// overload is therefore detected within three intervals, which is short compared to the two
	// seconds that the load balancer takes, and ends after three intervals without one.
	windowSamples, minOverloadedSamples = 3, 2
)

// detector detects an overload from measurements of the load.
type detector struct {
	// samples are the newest loads, each with its time, oldest first. overloaded has for each
	// interval between two of them whether the router was overloaded.
	samples    [windowSamples + 1]sample
	intervals  [windowSamples]bool
	count      int
	overloaded bool
}

type sample struct {
	at   time.Duration
	load Load
}

// observe adds a measurement, unless the last one is more recent than sampleInterval.
func (d *detector) observe(now time.Duration, load Load) {
	newest := d.samples[windowSamples]
	if d.count > 0 && now-newest.at < sampleInterval {
		return
	}
	if d.count > 0 {
		hot := load.since(newest.load, now-newest.at).overloaded()
		// A process that doesn't get the processor measures late: its interval counts as several.
		for range min(int((now-newest.at)/sampleInterval), windowSamples) {
			copy(d.intervals[:], d.intervals[1:])
			d.intervals[windowSamples-1] = hot
		}
	}
	copy(d.samples[:], d.samples[1:])
	d.samples[windowSamples] = sample{at: now, load: load}
	d.count++
	d.update()
}

func (d *detector) update() {
	hot := 0
	for _, overloaded := range d.intervals {
		if overloaded {
			hot++
		}
	}
	switch {
	case hot >= minOverloadedSamples:
		d.overloaded = true
	case hot == 0:
		d.overloaded = false
	}
}

// figures returns the load within the window.
func (d *detector) figures() Figures {
	oldest := windowSamples + 1 - min(d.count, windowSamples+1)
	if oldest > windowSamples {
		return Figures{}
	}
	newest := d.samples[windowSamples]
	return newest.load.since(d.samples[oldest].load, newest.at-d.samples[oldest].at)
}
