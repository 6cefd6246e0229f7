package experiment

import (
	"math"
	"slices"
	"time"
)

// sampleEvery is how often service and use are sampled.
const sampleEvery = 5 * time.Millisecond

// teamMeter follows one team over the whole fleet.
type teamMeter struct {
	share   float64
	waiting int
	// done is the service of requests that ended; running holds the others.
	done    float64
	running int
	// startSum is the sum of the running requests' start times in seconds.
	startSum float64
	waits    []float64
}

// service is the team's slot time so far, in seconds.
func (t *teamMeter) service(now time.Duration) float64 {
	return t.done + float64(t.running)*now.Seconds() - t.startSum
}

// pairRange is the spread of the difference in weighted service between two
// teams while both have been backlogged.
type pairRange struct {
	open      bool
	low, high float64
}

// meter measures what the brief asks for.
type meter struct {
	slots   int
	teams   []teamMeter
	pairs   []pairRange
	weights []float64
	gap     float64
	// gaps holds the spread of every pair's period, for the mean.
	busy       int
	waiting    int
	idleWaste  float64
	busyTime   float64
	strictBusy float64
	strictTime float64
	series     [][]float64
}

func newMeter(load Load) *meter {
	m := &meter{slots: load.Slots(), teams: make([]teamMeter, len(load.Teams))}
	for i, t := range load.Teams {
		m.teams[i].share = t.Share
	}
	m.pairs = make([]pairRange, len(load.Teams)*len(load.Teams))
	m.weights = make([]float64, len(load.Teams))
	return m
}

func (m *meter) arrived(team int) {
	m.teams[team].waiting++
	m.waiting++
}

func (m *meter) started(now time.Duration, team int, waited time.Duration) {
	t := &m.teams[team]
	t.waiting--
	m.waiting--
	t.running++
	t.startSum += now.Seconds()
	t.waits = append(t.waits, waited.Seconds())
	m.busy++
}

func (m *meter) ended(team int, started time.Duration, cost float64) {
	t := &m.teams[team]
	t.running--
	t.startSum -= started.Seconds()
	t.done += cost
	m.busy--
}

// use adds up how the slots were used since the last event.
func (m *meter) use(elapsed time.Duration) {
	if m.waiting == 0 {
		return
	}
	idle := max(m.slots-m.busy, 0)
	seconds := elapsed.Seconds()
	m.busyTime += float64(m.busy) * seconds
	m.idleWaste += float64(min(idle, m.waiting)) * seconds
	m.strictBusy += float64(min(m.busy, m.slots)) * seconds
	m.strictTime += float64(m.slots) * seconds
}

// sample brings the gap up to date.
func (m *meter) sample(now time.Duration) {
	for i := range m.teams {
		m.weights[i] = m.teams[i].service(now) / m.teams[i].share
	}
	for i := range m.teams {
		for j := i + 1; j < len(m.teams); j++ {
			m.samplePair(i, j)
		}
	}
}

func (m *meter) samplePair(i, j int) {
	p := &m.pairs[i*len(m.teams)+j]
	if m.teams[i].waiting == 0 || m.teams[j].waiting == 0 {
		p.open = false
		return
	}
	d := m.weights[i] - m.weights[j]
	if !p.open {
		*p = pairRange{open: true, low: d, high: d}
	}
	p.low, p.high = min(p.low, d), max(p.high, d)
	m.gap = max(m.gap, p.high-p.low)
}

// point adds the teams' service to the plot's series.
func (m *meter) point(now time.Duration) {
	row := []float64{now.Seconds()}
	for i := range m.teams {
		row = append(row, m.teams[i].service(now)/m.teams[i].share)
	}
	m.series = append(m.series, row)
}

func (m *meter) utilisation() float64 {
	if m.busyTime == 0 {
		return 1
	}
	return m.busyTime / (m.busyTime + m.idleWaste)
}

func (m *meter) strictUtilisation() float64 {
	if m.strictTime == 0 {
		return 1
	}
	return m.strictBusy / m.strictTime
}

// percentile returns the p-th part of values, 0 for none.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(p*float64(len(sorted))))-1]
}
