package dispatch

import (
	"container/list"
	"time"
)

// cache models the prompt parts in an engine's prefix cache. Eviction is least recently
// used first, as in the engine.
type cache struct {
	entries map[uint64]*list.Element
	// lru has the most recently used entry first.
	lru    list.List
	tokens int
}

type cacheEntry struct {
	id     uint64
	tokens int
	// prefiller is the job whose prefill computes the part, or nil once the part is
	// cached.
	prefiller *job
}

func newCache() *cache { return &cache{entries: map[uint64]*list.Element{}} }

// cachedPrefix returns the number of tokens in the longest cached prefix of a prompt. A
// cached part is only usable if all parts before it are cached.
func (c *cache) cachedPrefix(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if _, found := c.entries[p.ID]; !found {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

// prefillInProgress reports whether another job is prefilling a part of this prompt that
// is worth waiting for.
//
// An engine looks up a prompt on admission, and a part counts as cached only after its
// prefill. A second request of the same session that is sent earlier would compute the
// part again.
//
// An overdue prefill isn't waited for: its engine may be hung, and all requests of the
// session would wait until they miss their targets.
func (c *cache) prefillInProgress(now time.Duration, parts []Part, minTokens int) bool {
	for _, p := range parts {
		e, found := c.entries[p.ID]
		if !found {
			return false
		}
		prefiller := e.Value.(*cacheEntry).prefiller
		if prefiller != nil && p.Tokens >= minTokens && now < prefiller.prefillDeadline {
			return true
		}
	}
	return false
}

// prefillDone marks the parts that a job prefilled as cached.
func (c *cache) prefillDone(j *job) {
	for _, p := range j.Parts {
		if e, found := c.entries[p.ID]; found && e.Value.(*cacheEntry).prefiller == j {
			e.Value.(*cacheEntry).prefiller = nil
		}
	}
}

// insert adds the parts of a prompt and evicts others to stay within capacity, in tokens.
func (c *cache) insert(j *job, parts []Part, capacity int) {
	for _, p := range parts {
		if e, found := c.entries[p.ID]; found {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[p.ID] = c.lru.PushFront(&cacheEntry{id: p.ID, tokens: p.Tokens, prefiller: j})
		c.tokens += p.Tokens
	}
	for c.tokens > capacity && c.lru.Len() > 0 {
		last := c.lru.Back()
		e := c.lru.Remove(last).(*cacheEntry)
		delete(c.entries, e.id)
		c.tokens -= e.tokens
	}
}
