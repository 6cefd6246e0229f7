package experiment

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a heap ordered by time, then by insertion.
type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// virtualClock runs events in virtual time.
type virtualClock struct {
	queue events
	now   time.Duration
	seq   int
}

func (t *virtualClock) at(when time.Duration, run func()) {
	t.seq++
	heap.Push(&t.queue, &event{at: when, seq: t.seq, run: run})
}

func (t *virtualClock) after(d time.Duration, run func()) { t.at(t.now+d, run) }

func (t *virtualClock) runUntil(end time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= end {
		e := heap.Pop(&t.queue).(*event)
		t.now = e.at
		e.run()
	}
	t.now = end
}

func sortArrivals(all []arrival) {
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
}
