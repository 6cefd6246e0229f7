package dispatch

import (
	"math"
	"time"
)

// presentSpeed estimates how long work takes on an upstream's machine at present, relative to its
// usual time, from what the upstream states in its responses. The usual time is learnt from the
// answers (see prefillFit, average), with the stated slowdown taken out of them.
type presentSpeed struct {
	// reports holds the newest reports, the newest one at index newest, and count how many there are.
	reports       [speedReports]speedReport
	newest, count int
	// mean is the mean of the stated slowdowns over time.
	mean float64
}

// speedReport is a slowdown that an upstream stated, and when.
type speedReport struct {
	at       time.Duration
	slowdown float64
}

const (
	// speedReports is the number of reports that are kept. A prefill takes as long as the time
	// between a few responses.
	speedReports = 8
	// maxSlowdown bounds what one report can change: an upstream that states a wrong one gets
	// a quarter of its work until its answers have shown it.
	maxSlowdown = 4
	// slowdownFade is the time constant with which a report loses its weight. Machines change their
	// speed for some hundred milliseconds. If it is too long, an upstream that isn't asked because it
	// was slow stays idle while callers wait elsewhere; if it is too short, callers wait at an
	// upstream that is still slow.
	slowdownFade = 500 * time.Millisecond
	// meanSlowdownWindow averages over many changes of the speed.
	meanSlowdownWindow = 30 * time.Second
)

// newPresentSpeed returns the estimate after the first report.
func newPresentSpeed(at time.Duration, slowdown float64) presentSpeed {
	p := presentSpeed{mean: 1, count: 1}
	p.reports[0] = speedReport{at: at, slowdown: boundedSlowdown(slowdown)}
	return p
}

// boundedSlowdown returns the slowdown that a report counts as. An upstream that is faster than usual is as
// fast as its answers have shown.
func boundedSlowdown(stated float64) float64 { return min(max(stated, 1), maxSlowdown) }

// observe records a slowdown that was stated at the given time. Reports that are older than the newest one,
// which were delayed, are ignored.
func (p *presentSpeed) observe(at time.Duration, slowdown float64) {
	slowdown = boundedSlowdown(slowdown)
	last := p.newestReport()
	if at <= last.at {
		return
	}
	span := min(at-last.at, slowdownFade)
	p.mean += (1 - math.Exp(-float64(span)/float64(meanSlowdownWindow))) * (slowdown - p.mean)
	p.newest = (p.newest + 1) % speedReports
	p.reports[p.newest] = speedReport{at: at, slowdown: slowdown}
	p.count = min(p.count+1, speedReports)
}

func (p *presentSpeed) newestReport() speedReport { return p.reports[p.newest] }

// age returns the age of the newest report.
func (p *presentSpeed) age(now time.Duration) time.Duration {
	return max(now-p.newestReport().at, 0)
}

// slowdown returns the expected slowdown. It fades from the newest report to the mean.
func (p *presentSpeed) slowdown(now time.Duration) float64 {
	weight := math.Exp(-float64(p.age(now)) / float64(slowdownFade))
	return p.mean + weight*(p.newestReport().slowdown-p.mean)
}

// meanSlowdown returns the mean slowdown of work that was done between two times, the later of
// which is about that of the newest report. The speed is interpolated between reports.
func (p *presentSpeed) meanSlowdown(from, to time.Duration) float64 {
	if to <= from {
		return p.newestReport().slowdown
	}
	done := 0.0
	later := speedReport{at: to, slowdown: p.newestReport().slowdown}
	for i := range p.count {
		r := p.reports[(p.newest-i+speedReports)%speedReports]
		if r.at >= later.at {
			later.slowdown = r.slowdown
			continue
		}
		done += workBetween(r, later, max(r.at, from))
		later = r
		if r.at <= from {
			break
		}
	}
	if later.at > from {
		done += float64(later.at-from) / later.slowdown
	}
	return float64(to-from) / done
}

// workBetween returns the work done from the given time, which is between those of two reports, until the later one.
func workBetween(a, b speedReport, from time.Duration) float64 {
	fraction := float64(from-a.at) / float64(b.at-a.at)
	speed := 1/a.slowdown + fraction*(1/b.slowdown-1/a.slowdown)
	return float64(b.at-from) * (speed + 1/b.slowdown) / 2
}
