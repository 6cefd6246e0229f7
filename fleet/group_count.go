package fleet

import (
	"math/bits"
	"sync"
)

// groupCounts are the numbers of groups into which services' upstreams fall. It is safe
// for concurrent use.
//
// A number is a power of two: each group has at most size upstreams. It doubles as soon as
// they are more, and halves only once they are well below. Replaced upstreams are listed
// for a while beside their successors, and a third may crash at once; if the number
// followed that, nearly all sessions would change their homes twice within seconds, and
// engines would read their prompts again.
type groupCounts struct {
	size int
	mu   sync.Mutex
	// counts are by service.
	counts map[string]int
}

// halvesAt is the part of half as many full groups to which upstreams must fall for the
// number to halve.
const halvesAt = 0.75

func newGroupCounts(size int) *groupCounts {
	return &groupCounts{size: size, counts: map[string]int{}}
}

// of is the number for a service that has so many upstreams now.
func (c *groupCounts) of(service string, upstreams int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := max(c.counts[service], c.least(upstreams))
	for count > 1 && !c.may(count, upstreams) {
		count /= 2
	}
	c.counts[service] = count
	return count
}

// least is the smallest number for which no group is too large.
func (c *groupCounts) least(upstreams int) int {
	count := 1
	for upstreams > count*c.size {
		count *= 2
	}
	return count
}

// may reports whether upstreams may fall into so many groups.
func (c *groupCounts) may(count, upstreams int) bool {
	return float64(upstreams) > halvesAt*float64(count/2*c.size)
}

// groupNumber tells on the wire which group is meant and of how many: the groups of a
// division into two are 2 and 3, those of four 4 to 7.
type groupNumber int

func numberOf(index, count int) groupNumber {
	// A group that is left over from a larger division is named by that.
	for count <= index {
		count *= 2
	}
	return groupNumber(count + index)
}

// count is into how many groups the sender divides the upstreams, 0 if the number is none.
func (n groupNumber) count() int {
	if n <= 0 || n >= 2*maxGroups {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// index is that of the group, -1 if the number is none.
func (n groupNumber) index() int {
	if n.count() == 0 {
		return -1
	}
	return int(n) - n.count()
}

// told takes in a peer's number. A router that has just started, or has never seen the
// upstreams that made its peers double theirs, would else send sessions to other homes.
func (c *groupCounts) told(service string, count, upstreams int) {
	powerOfTwo := count > 0 && count&(count-1) == 0
	if !powerOfTwo || count > maxGroups || !c.may(count, upstreams) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[service] = max(c.counts[service], count)
}
