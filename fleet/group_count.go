package fleet

import (
	"math/bits"
	"sync"
)

// groupCounts has the number of groups into which the upstreams of each service are divided.
// It is safe for concurrent use.
//
// The number is a power of two, so that groups have at most maxMeanSize upstreams on average.
// It doubles as soon as they would have more, but halves only once they have well below that.
// Replaced upstreams are listed beside their successors for a while, and a third of the
// upstreams may crash at once. If the number followed these changes, nearly all sessions
// would change homes twice within seconds, and engines would process their prompts again.
type groupCounts struct {
	maxMeanSize int
	mu          sync.Mutex
	// counts has the number of groups by service.
	counts map[string]int
}

// halvingThreshold is the fill level of half as many groups at or below which the number of
// groups is halved.
const halvingThreshold = 0.75

func newGroupCounts(size int) *groupCounts {
	return &groupCounts{maxMeanSize: size, counts: map[string]int{}}
}

// update returns the number of groups of a service for its current number of upstreams.
func (c *groupCounts) update(service string, upstreams int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := max(c.counts[service], c.minimum(upstreams))
	for count > 1 && !c.allowed(count, upstreams) {
		count /= 2
	}
	c.counts[service] = count
	return count
}

// minimum returns the smallest power of two for which the mean group size is at most
// maxMeanSize.
func (c *groupCounts) minimum(upstreams int) int {
	count := 1
	for upstreams > count*c.maxMeanSize {
		count *= 2
	}
	return count
}

// allowed reports whether so many upstreams may be divided into count groups.
func (c *groupCounts) allowed(count, upstreams int) bool {
	return float64(upstreams) > halvingThreshold*float64(count/2*c.maxMeanSize)
}

// groupNumber encodes, in messages between routers, the index of a group and the number of
// groups: two groups are numbered 2 and 3, four groups 4 to 7.
type groupNumber int

func newGroupNumber(index, count int) groupNumber {
	// A group that remains from a larger number of groups is encoded with that number.
	for count <= index {
		count *= 2
	}
	return groupNumber(count + index)
}

// count returns the sender's number of groups, 0 if the group number is invalid.
func (n groupNumber) count() int {
	if n <= 0 || n >= 2*maxGroups {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// index returns the index of the group, -1 if the group number is invalid.
func (n groupNumber) index() int {
	if n.count() == 0 {
		return -1
	}
	return int(n) - n.count()
}

// adopt raises the number of groups to that of a peer. Otherwise a router that has just
// started, or has never seen the upstreams for which its peers doubled the number, would
// send sessions to other homes than its peers do.
func (c *groupCounts) adopt(service string, count, upstreams int) {
	powerOfTwo := count > 0 && count&(count-1) == 0
	if !powerOfTwo || count > maxGroups || !c.allowed(count, upstreams) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[service] = max(c.counts[service], count)
}
