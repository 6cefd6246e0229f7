package lab

import (
	"container/list"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

const microsInMillis = 1000

// engine batches continuously, admits first come first served and keeps prompt
// parts, least recently used first out.
type engine struct {
	id      string
	clock   *clock
	sheet   *EngineModel
	speed   float64
	waiting []*sequence
	running []*sequence
	busy    bool
	kept    map[uint64]*list.Element
	order   list.List
	tokens  int
	// read counts prompt tokens read, reread those of shared parts read again.
	read, reread int
	peers        map[string]*engine
}

type keptPart struct {
	id     uint64
	tokens int
}

// sequence is a request at an engine.
type sequence struct {
	parts     []dispatch.Part
	prompt    int
	output    int
	unread    int
	context   int
	generated int
	lastEvent time.Duration
	pause     time.Duration
	cancelled bool
	first     func()
	done      func()
}

func newEngine(id string, c *clock, sheet *EngineModel, speed float64) *engine {
	return &engine{id: id, clock: c, sheet: sheet, speed: speed, kept: map[uint64]*list.Element{}}
}

// submit queues a request; from, if not nil, is an engine to copy parts from.
func (e *engine) submit(s *sequence, from *engine) {
	if from == nil {
		e.enqueue(s)
		return
	}
	have, theirs := e.has(s.parts), from.has(s.parts)
	if theirs <= have {
		e.enqueue(s)
		return
	}
	e.clock.after(time.Duration(theirs-have)*e.sheet.copyPerToken(), func() {
		e.keep(s.parts, theirs)
		e.enqueue(s)
	})
}

func (e *engine) enqueue(s *sequence) {
	e.waiting = append(e.waiting, s)
	if !e.busy {
		e.step()
	}
}

// has is how many tokens of the prompt's start are kept.
func (e *engine) has(parts []dispatch.Part) int {
	n := 0
	for _, p := range parts {
		if e.kept[p.ID] == nil {
			return n
		}
		n += p.Tokens
	}
	return n
}

// keep notes the first tokens of a prompt as kept and makes room.
func (e *engine) keep(parts []dispatch.Part, tokens int) {
	for _, p := range parts {
		if tokens < p.Tokens {
			break
		}
		tokens -= p.Tokens
		if el := e.kept[p.ID]; el != nil {
			e.order.MoveToFront(el)
			continue
		}
		e.kept[p.ID] = e.order.PushFront(keptPart{p.ID, p.Tokens})
		e.tokens += p.Tokens
	}
	room := e.sheet.KVTokens
	for _, s := range e.running {
		room -= s.unread + s.generated
	}
	for e.tokens > room && e.order.Len() > 0 {
		p := e.order.Remove(e.order.Back()).(keptPart)
		delete(e.kept, p.id)
		e.tokens -= p.tokens
	}
}

// admit takes waiting requests into the batch.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.sheet.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.cancelled {
			continue
		}
		have := e.has(s.parts)
		s.unread = max(s.prompt-have, 1)
		s.context = have
		e.read += s.unread
		e.countReread(s, have)
		e.running = append(e.running, s)
	}
}

// countReread counts shared parts that another engine keeps.
func (e *engine) countReread(s *sequence, have int) {
	at := 0
	for _, p := range s.parts[:len(s.parts)-1] {
		at += p.Tokens
		if at <= have {
			continue
		}
		for _, other := range e.peers {
			if other.kept[p.ID] != nil {
				e.reread += p.Tokens
				break
			}
		}
	}
}

// step runs one step of the batch.
func (e *engine) step() {
	e.admit()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	ms := e.sheet.StepMs + e.sheet.StepMsPerSlot*float64(len(e.running))
	budget := e.sheet.ChunkTokens
	reads := make([]int, len(e.running))
	for i, s := range e.running {
		ms += e.sheet.ContextMsPerK * float64(s.context) / microsInMillis
		if s.unread == 0 || budget == 0 {
			continue
		}
		n := min(s.unread, budget)
		budget -= n
		reads[i] = n
		ms += float64(n)/e.sheet.TokensPerMs + float64(n)*(float64(s.context)+float64(n)/2)*e.sheet.PairsMsPerM/1e6
	}
	e.clock.after(time.Duration(ms*e.speed*float64(time.Millisecond)), func() { e.ended(reads) })
}

// ended applies a step's work.
func (e *engine) ended(reads []int) {
	running := e.running
	e.running = nil
	for i, s := range running {
		if s.cancelled {
			continue
		}
		if s.unread > 0 {
			s.unread -= reads[i]
			s.context += reads[i]
			if s.unread == 0 {
				e.keep(s.parts, s.prompt)
				e.token(s)
			}
		} else {
			e.token(s)
		}
		if s.generated < s.output {
			e.running = append(e.running, s)
		}
	}
	e.step()
}

// token generates one token; every few make an event of the stream.
func (e *engine) token(s *sequence) {
	s.generated++
	s.context++
	now := e.clock.now
	if s.generated == 1 {
		s.lastEvent = now
		s.first()
	} else if s.generated%e.sheet.Stride == 0 {
		s.pause = max(s.pause, now-s.lastEvent)
		s.lastEvent = now
	}
	if s.generated >= s.output {
		s.done()
	}
}
