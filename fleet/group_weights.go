package fleet

import (
	"math"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/feed"
)

// groupWeights has the numbers of upstreams in the groups of each service. Groups are made by a hash
// and differ in size, and a crash takes different parts of them, so sessions are divided in proportion.
// It is safe for concurrent use. The zero value is empty.
type groupWeights struct {
	mu sync.Mutex
	// snapshot is the state that the weights were computed from.
	snapshot *feed.Snapshot
	weights  map[string][]int
}

// of returns the numbers of upstreams in a service's count groups.
func (w *groupWeights) of(s *feed.Snapshot, service string, count int) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.snapshot != s {
		w.snapshot, w.weights = s, map[string][]int{}
	}
	if found := w.weights[service]; len(found) == count {
		return found
	}
	sizes := make([]int, count)
	for _, u := range s.View.Ready(service) {
		sizes[groupOfUpstream(u.ID, count)]++
	}
	w.weights[service] = sizes
	return sizes
}

// weightedGroup returns the index of a group by weighted rendezvous hashing: a change of the weights moves
// only as many sessions as it has to. An empty group counts as a small part of an upstream, so that sessions
// are divided evenly if all are empty.
func weightedGroup(key string, weights []int) int {
	const emptyWeight = 1e-6
	best, highest := 0, math.Inf(-1)
	for i, weight := range weights {
		u := (float64(xxhash.Sum64String(key+"/"+strconv.Itoa(i))>>11) + 0.5) / (1 << 53)
		if score := max(float64(weight), emptyWeight) / -math.Log(u); score > highest {
			best, highest = i, score
		}
	}
	return best
}
