package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// domainDemand has how often each failure domain recently requested each session, as far as that
// hasn't paid for copies of the session's parts yet. It is a set-associative table of fixed size:
// a new entry replaces the one of its set with the lowest value. The zero value is empty.
type domainDemand struct {
	sets []demandSet
}

type demandSet [4]demandEntry

type demandEntry struct {
	key uint64
	decayingSum
}

const (
	// demandSets allows for 4,096 sessions of a domain, more than a group's caches hold.
	demandSets = 1024
	// demandWindow is the time constant of the decay. An engine replaces its cache in 6 s at
	// full load, and a copy pays only for requests that arrive before it is evicted.
	demandWindow = 10 * time.Second
)

// demandKey returns the key of a session and a domain, 0 if a request has no session.
func demandKey(r *Request) uint64 {
	if len(r.Parts) < 2 {
		return 0
	}
	// Multiplying by an odd number keeps sessions distinct.
	const mix = 0x9e3779b97f4a7c15
	return r.Parts[len(r.Parts)-2].ID*mix ^ xxhash.Sum64String(r.Domain) | 1
}

// requests returns the recent number of requests under a key.
func (d *domainDemand) requests(now time.Duration, key uint64) float64 {
	if e := d.find(key); e != nil {
		return e.value(now, demandWindow)
	}
	return 0
}

// add changes the number of requests under a key, which doesn't fall below 0.
func (d *domainDemand) add(now time.Duration, key uint64, requests float64) {
	e := d.find(key)
	if e == nil {
		e = d.replace(now, key)
	}
	e.decayingSum.add(now, demandWindow, requests)
	e.sum = max(e.sum, 0)
}

func (d *domainDemand) set(key uint64) *demandSet {
	if d.sets == nil {
		d.sets = make([]demandSet, demandSets)
	}
	return &d.sets[(key>>32)%demandSets]
}

func (d *domainDemand) find(key uint64) *demandEntry {
	set := d.set(key)
	for i := range set {
		if set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// replace returns a new entry in the place of that with the lowest value.
func (d *domainDemand) replace(now time.Duration, key uint64) *demandEntry {
	set := d.set(key)
	lowest := &set[0]
	for i := range set {
		if set[i].value(now, demandWindow) < lowest.value(now, demandWindow) {
			lowest = &set[i]
		}
	}
	*lowest = demandEntry{key: key, decayingSum: decayingSum{updatedAt: now}}
	return lowest
}
