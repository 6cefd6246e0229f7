package lab

import (
	"container/list"
	"slices"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

const tokensPerK = 1000

// engine models an inference engine with continuous batching, first-come first-served
// admission and an LRU cache of prompt parts.
type engine struct {
	id      string
	clock   *clock
	model   *EngineModel
	speed   float64
	waiting []*sequence
	running []*sequence
	busy    bool
	cached  map[uint64]*list.Element
	lru     list.List
	// tokens is the number of cached tokens.
	tokens int
	// prefilled counts prompt tokens prefilled, redundant those of shared parts that another
	// engine had cached.
	prefilled, redundant int
	// copied counts prompt tokens copied from other engines, domain is the failure domain.
	copied, domain int
	peers          map[string]*engine
	// down is set while the engine restarts after a crash. incarnation differs for each start of
	// each engine.
	down        bool
	incarnation uint32
	// crashesOn reports whether the engine crashes on a prompt, and crashed is called when it does.
	crashesOn func(parts []dispatch.Part) bool
	crashed   func()
}

type cachedPart struct {
	id     uint64
	tokens int
}

// sequence is a request submitted to an engine.
type sequence struct {
	parts        []dispatch.Part
	prompt       int
	outputTokens int
	unprefilled  int
	context      int
	generated    int
	lastEventAt  time.Duration
	longestPause time.Duration
	// started is true once the first chunk of the prompt has been prefilled.
	started   bool
	cancelled bool
	// incarnation is that of the engine which received the request.
	incarnation uint32
	// prefilled is called when the prompt is prefilled, firstToken and done when the first and
	// the last token arrive. received is called when the engine receives the request, unreachable
	// instead if it is down, and interrupted if it crashes.
	prefilled, firstToken, done        func()
	received, unreachable, interrupted func()
}

func newEngine(id string, c *clock, model *EngineModel, speed float64) *engine {
	return &engine{id: id, clock: c, model: model, speed: speed, cached: map[uint64]*list.Element{}}
}

// submit queues a request. If source isn't nil, cached parts are first copied from it.
func (e *engine) submit(s *sequence, source *engine) {
	if source == nil {
		e.enqueue(s)
		return
	}
	local, remote := e.cachedPrefix(s.parts), source.cachedPrefix(s.parts)
	if remote <= local {
		e.enqueue(s)
		return
	}
	e.clock.after(time.Duration(remote-local)*e.model.copyPerToken(), func() {
		e.copied += remote - local
		e.cachePrefix(s.parts, remote)
		e.enqueue(s)
	})
}

func (e *engine) enqueue(s *sequence) {
	if e.down {
		e.clock.after(refusedConnectionDelay, s.unreachable)
		return
	}
	s.incarnation = e.incarnation
	s.received()
	e.waiting = append(e.waiting, s)
	if !e.busy {
		e.step()
	}
}

// cachedPrefix returns the number of leading prompt tokens in the cache.
func (e *engine) cachedPrefix(parts []dispatch.Part) int {
	n := 0
	for _, p := range parts {
		if e.cached[p.ID] == nil {
			return n
		}
		n += p.Tokens
	}
	return n
}

// cachePrefix caches the parts within the first tokens of a prompt and evicts the least
// recently used parts that no longer fit beside the running requests.
func (e *engine) cachePrefix(parts []dispatch.Part, tokens int) {
	for _, p := range parts {
		if tokens < p.Tokens {
			break
		}
		tokens -= p.Tokens
		if el := e.cached[p.ID]; el != nil {
			e.lru.MoveToFront(el)
			continue
		}
		e.cached[p.ID] = e.lru.PushFront(cachedPart{p.ID, p.Tokens})
		e.tokens += p.Tokens
	}
	capacity := e.model.KVTokens
	for _, s := range e.running {
		capacity -= s.unprefilled + s.generated
	}
	for e.tokens > capacity && e.lru.Len() > 0 {
		p := e.lru.Remove(e.lru.Back()).(cachedPart)
		delete(e.cached, p.id)
		e.tokens -= p.tokens
	}
}

// admit moves waiting requests into the batch while slots are free.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.cancelled {
			continue
		}
		hit := e.cachedPrefix(s.parts)
		s.unprefilled = max(s.prompt-hit, 1)
		s.context = hit
		e.prefilled += s.unprefilled
		e.countRedundant(s, hit)
		e.running = append(e.running, s)
	}
}

// countRedundant counts the tokens of shared parts that are prefilled here although another
// engine has them cached.
func (e *engine) countRedundant(s *sequence, hit int) {
	end := 0
	for _, p := range s.parts[:len(s.parts)-1] {
		end += p.Tokens
		if end <= hit {
			continue
		}
		for _, other := range e.peers {
			if other.cached[p.ID] != nil {
				e.redundant += p.Tokens
				break
			}
		}
	}
}

// step starts the next step of the batch.
func (e *engine) step() {
	e.admit()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	ms := e.model.StepMs + e.model.StepMsPerSlot*float64(len(e.running))
	budget := e.model.ChunkTokens
	chunks := make([]int, len(e.running))
	for i, s := range e.running {
		ms += e.model.ContextMsPerK * float64(s.context) / tokensPerK
		if s.unprefilled == 0 || budget == 0 {
			continue
		}
		n := min(s.unprefilled, budget)
		budget -= n
		chunks[i] = n
		if !s.started {
			s.started = true
			ms += e.model.PromptWorkMs
		}
		ms += float64(n)/e.model.TokensPerMs + float64(n)*(float64(s.context)+float64(n)/2)*e.model.PairsMsPerM/1e6
	}
	e.clock.after(time.Duration(ms*e.speed*float64(time.Millisecond)), func() { e.finishStep(chunks) })
}

// finishStep applies the results of a step; chunks holds the tokens prefilled per request.
func (e *engine) finishStep(chunks []int) {
	for i, s := range e.running {
		if !s.cancelled && s.generated == 0 && s.unprefilled == chunks[i] && e.crashesOn(s.parts) {
			e.crash()
			return
		}
	}
	running := e.running
	e.running = nil
	for i, s := range running {
		if s.cancelled {
			continue
		}
		if s.unprefilled > 0 {
			s.unprefilled -= chunks[i]
			s.context += chunks[i]
			if s.unprefilled == 0 {
				e.cachePrefix(s.parts, s.prompt)
				e.generateToken(s)
			}
		} else {
			e.generateToken(s)
		}
		if s.generated < s.outputTokens {
			e.running = append(e.running, s)
		}
	}
	e.step()
}

// crash interrupts all requests and empties the cache. The engine is down until restart.
func (e *engine) crash() {
	interrupted := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.busy = nil, nil, false
	e.cached, e.tokens = map[uint64]*list.Element{}, 0
	e.lru.Init()
	e.down = true
	e.crashed()
	for _, s := range interrupted {
		if !s.cancelled {
			s.interrupted()
		}
	}
}

func (e *engine) restart() {
	e.down = false
	e.incarnation += uint32(len(e.peers))
}

// generateToken generates one token, which leaves the engine after its fixed delay. Every
// Stride tokens form an event of the stream.
func (e *engine) generateToken(s *sequence) {
	s.generated++
	s.context++
	now := e.clock.now
	if s.generated == 1 {
		s.lastEventAt = now
		s.prefilled()
		e.clock.after(milliseconds(e.model.FirstTokenDelayMs), s.firstToken)
	} else if s.generated%e.model.Stride == 0 {
		s.longestPause = max(s.longestPause, now-s.lastEventAt)
		s.lastEventAt = now
	}
	if s.generated >= s.outputTokens {
		e.clock.after(milliseconds(e.model.FirstTokenDelayMs), s.done)
	}
}
