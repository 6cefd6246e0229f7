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
	// quiet is how long the team has waited without any request being served,
	// longest the longest time that was so.
	quiet, longest time.Duration
}

// service is the team's slot time so far, in seconds.
func (t *teamMeter) service(now time.Duration) float64 {
	return t.done + float64(t.running)*now.Seconds() - t.startSum
}

// wait adds a sample to the time without service.
func (t *teamMeter) wait() {
	if t.waiting == 0 {
		t.quiet = 0
		return
	}
	t.quiet += sampleEvery
	t.longest = max(t.longest, t.quiet)
}

// meter measures what the brief asks for.
type meter struct {
	slots   int
	teams   []teamMeter
	weights []float64
	// whole follows the gap over the run, window over ten seconds at a time.
	whole, window *gapMeter
	windowSum     float64
	windows       int
	busy          int
	waiting       int
	idleWaste     float64
	busyTime      float64
	strictBusy    float64
	strictTime    float64
	series        [][]float64
}

func newMeter(load Load) *meter {
	m := &meter{slots: load.Slots(), teams: make([]teamMeter, len(load.Teams))}
	for i, t := range load.Teams {
		m.teams[i].share = t.Share
	}
	metered := min(len(load.Teams), maxMeteredTeams)
	m.weights = make([]float64, metered)
	m.whole, m.window = newGapMeter(metered), newGapMeter(metered)
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
	t.quiet = 0
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

// gapWindow is how long one sample of the mean gap takes.
const gapWindow = 10 * time.Second

// sample brings the gap up to date.
func (m *meter) sample(now time.Duration) {
	for i := range m.weights {
		m.weights[i] = m.teams[i].service(now) / m.teams[i].share
	}
	for i := range m.weights {
		for j := i + 1; j < len(m.weights); j++ {
			both := m.teams[i].waiting > 0 && m.teams[j].waiting > 0
			m.whole.observe(i, j, both, m.weights[i]-m.weights[j])
			m.window.observe(i, j, both, m.weights[i]-m.weights[j])
		}
	}
	for i := range m.teams {
		m.teams[i].wait()
	}
	if now%gapWindow == 0 {
		m.windowSum += m.window.gap
		m.windows++
		m.window = newGapMeter(len(m.weights))
	}
}

// meanGap is the mean over the windows of the largest gap in each: less noisy
// than the largest of the run.
func (m *meter) meanGap() float64 {
	if m.windows == 0 {
		return m.window.gap
	}
	return m.windowSum / float64(m.windows)
}

// point adds the teams' service to the plot's series.
func (m *meter) point(now time.Duration) {
	row := []float64{(now - warmUp).Seconds()}
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
