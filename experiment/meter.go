package experiment

import (
	"math"
	"slices"
	"time"
)

// sampleInterval is how often service and starvation are sampled.
const sampleInterval = 5 * time.Millisecond

// teamMeter measures one team over the whole fleet.
type teamMeter struct {
	share   float64
	waiting int
	// completedService is the service of completed requests; running counts the others.
	completedService float64
	running          int
	// startSum is the sum of the running requests' start times in seconds.
	startSum float64
	waits    []float64
	// unserved is how long requests of the team have waited since one of them last started;
	// longestUnserved is its maximum.
	unserved, longestUnserved time.Duration
}

// service returns the team's slot time so far, in seconds.
func (t *teamMeter) service(now time.Duration) float64 {
	return t.completedService + float64(t.running)*now.Seconds() - t.startSum
}

// sampleUnserved adds a sample interval to unserved, or resets it if nothing waits.
func (t *teamMeter) sampleUnserved() {
	if t.waiting == 0 {
		t.unserved = 0
		return
	}
	t.unserved += sampleInterval
	t.longestUnserved = max(t.longestUnserved, t.unserved)
}

// meter measures the fairness gap, slot utilisation and waits of a run.
type meter struct {
	slots    int
	teams    []teamMeter
	weighted []float64
	// runGap measures the gap over the whole run, windowGap over the current gapWindow.
	runGap, windowGap *gapMeter
	windowGapSum      float64
	windowCount       int
	busy              int
	waiting           int
	idleTime          float64
	busyTime          float64
	strictBusyTime    float64
	strictTotalTime   float64
	series            [][]float64
}

func newMeter(load Load) *meter {
	m := &meter{slots: load.Slots(), teams: make([]teamMeter, len(load.Teams))}
	for i, t := range load.Teams {
		m.teams[i].share = t.Share
	}
	metered := min(len(load.Teams), maxMeteredTeams)
	m.weighted = make([]float64, metered)
	m.runGap, m.windowGap = newGapMeter(metered), newGapMeter(metered)
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
	t.unserved = 0
	t.waits = append(t.waits, waited.Seconds())
	m.busy++
}

func (m *meter) ended(team int, started time.Duration, cost float64) {
	t := &m.teams[team]
	t.running--
	t.startSum -= started.Seconds()
	t.completedService += cost
	m.busy--
}

// addUsage adds the slot usage of the time since the last event, if any request waits.
func (m *meter) addUsage(elapsed time.Duration) {
	if m.waiting == 0 {
		return
	}
	idle := max(m.slots-m.busy, 0)
	seconds := elapsed.Seconds()
	m.busyTime += float64(m.busy) * seconds
	m.idleTime += float64(min(idle, m.waiting)) * seconds
	m.strictBusyTime += float64(min(m.busy, m.slots)) * seconds
	m.strictTotalTime += float64(m.slots) * seconds
}

// gapWindow is the length of a window for the mean gap.
const gapWindow = 10 * time.Second

// sample updates the gaps and the teams' time without service.
func (m *meter) sample(now time.Duration) {
	for i := range m.weighted {
		m.weighted[i] = m.teams[i].service(now) / m.teams[i].share
	}
	for i := range m.weighted {
		for j := i + 1; j < len(m.weighted); j++ {
			both := m.teams[i].waiting > 0 && m.teams[j].waiting > 0
			m.runGap.observe(i, j, both, m.weighted[i]-m.weighted[j])
			m.windowGap.observe(i, j, both, m.weighted[i]-m.weighted[j])
		}
	}
	for i := range m.teams {
		m.teams[i].sampleUnserved()
	}
	if now%gapWindow == 0 {
		m.windowGapSum += m.windowGap.gap
		m.windowCount++
		m.windowGap = newGapMeter(len(m.weighted))
	}
}

// meanGap returns the mean over all windows of the largest gap in each, which is less noisy
// than the largest gap of the run.
func (m *meter) meanGap() float64 {
	if m.windowCount == 0 {
		return m.windowGap.gap
	}
	return m.windowGapSum / float64(m.windowCount)
}

// recordSeries appends the teams' weighted service to the plot's series.
func (m *meter) recordSeries(now time.Duration) {
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
	return m.busyTime / (m.busyTime + m.idleTime)
}

func (m *meter) strictUtilisation() float64 {
	if m.strictTotalTime == 0 {
		return 1
	}
	return m.strictBusyTime / m.strictTotalTime
}

// percentile returns the value at quantile p (0 to 1), or 0 if there are no values.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(p*float64(len(sorted))))-1]
}
