package dispatch

import (
	"container/list"
	"time"
)

// cache models which prompt parts an engine keeps. Parts yield least recently
// used first, as they do in the engine.
type cache struct {
	entries map[uint64]*list.Element
	// order has the most recently used entry first.
	order  list.List
	tokens int
}

type cached struct {
	id     uint64
	tokens int
	// reader is the request that is reading the part now, nil once it is there.
	reader *job
}

func newCache() *cache { return &cache{entries: map[uint64]*list.Element{}} }

// kept is how many tokens of a prompt's start are cached: a part is only of use
// if all parts before it are kept too.
func (c *cache) kept(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if _, found := c.entries[p.ID]; !found {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}

// beingRead reports whether another request is just reading a part of this
// prompt that is worth waiting for.
//
// An engine looks a prompt up when it admits it, and a part counts as kept only
// once it has been read. A second request of the same session that is sent
// meanwhile would read the part again.
//
// A reader that is overdue isn't waited for: its engine may be hung, and all
// requests of the session would wait for it until their targets have passed.
func (c *cache) beingRead(now time.Duration, parts []Part, least int) bool {
	for _, p := range parts {
		e, found := c.entries[p.ID]
		if !found {
			return false
		}
		reader := e.Value.(*cached).reader
		if reader != nil && p.Tokens >= least && now < reader.readBy {
			return true
		}
	}
	return false
}

// done notes that a request has been read.
func (c *cache) done(j *job) {
	for _, p := range j.Parts {
		if e, found := c.entries[p.ID]; found && e.Value.(*cached).reader == j {
			e.Value.(*cached).reader = nil
		}
	}
}

// read notes that a request reads its prompt and makes room within capacity.
func (c *cache) read(j *job, parts []Part, capacity int) {
	for _, p := range parts {
		if e, found := c.entries[p.ID]; found {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[p.ID] = c.order.PushFront(&cached{id: p.ID, tokens: p.Tokens, reader: j})
		c.tokens += p.Tokens
	}
	for c.tokens > capacity && c.order.Len() > 0 {
		last := c.order.Back()
		e := c.order.Remove(last).(*cached)
		delete(c.entries, e.id)
		c.tokens -= e.tokens
	}
}
