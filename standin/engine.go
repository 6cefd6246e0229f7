package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/limits"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// TimeToFirstToken is the time to process a prompt, and TimePerToken that to generate
	// each token.
	TimeToFirstToken, TimePerToken time.Duration
	// CachedPrefixes is the capacity of the prefix cache, in prompt prefixes. A cache hit
	// halves the time to the first token.
	CachedPrefixes int
	// ReportLag is the age of the load reports.
	ReportLag time.Duration
	// DisconnectAfterEvents is the number of events after which each connection of a stream is
	// aborted; 0 disables this.
	DisconnectAfterEvents int
	// CloseInEvent makes streams end with their connection, without a length or chunks. After
	// DisconnectAfterEvents the connection is closed inside an event instead of being aborted.
	CloseInEvent bool
	// LineEnd ends the lines of streams; "" means LF.
	LineEnd string
}

// Engine is a fake model engine. It runs requests in order of arrival, as many at a time as it
// has slots, and queues the others. A stream continues after its reader has disconnected, until
// it is cancelled.
type Engine struct {
	cfg         EngineConfig
	slots       chan struct{}
	running     atomic.Int64
	queued      atomic.Int64
	mu          sync.Mutex
	streams     map[string]*generation
	prefixCache []uint64
	reported    limits.Load
}

// NewEngine returns an idle Engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots),
		streams: map[string]*generation{},
	}
}

// Handler returns the HTTP API of the engine.
func (g *Engine) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/chat/completions", g.complete)
	e.POST("/v1/completions", g.complete)
	e.GET("/v1/streams/:id", g.resume)
	e.DELETE("/v1/streams/:id", g.cancel)
	e.GET("/load", g.load)
	return e
}

// engineRequest holds the fields of a completion request that the engine uses.
type engineRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

func (r engineRequest) prompt() []byte {
	if len(r.Messages) > 0 {
		return r.Messages
	}
	return r.Prompt
}

// OutputToken returns the i-th output token for a prompt, by which callers can check
// answers.
func OutputToken(prompt []byte, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64(prompt)), i)
}

const (
	defaultMaxTokens = 16
	// finishedStreamTTL is how long a finished stream can still be resumed.
	finishedStreamTTL = 5 * time.Second
)

func (g *Engine) removeStream(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams, id)
}

func (g *Engine) complete(c echo.Context) error {
	var req engineRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil {
		return c.JSON(http.StatusBadRequest, map[string]any{"error": map[string]string{"message": err.Error(), "type": "invalid_request_error"}})
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.Request().Context()))
	s := &generation{id: uuid.NewString(), req: req, cancel: cancel, updated: make(chan struct{})}
	g.mu.Lock()
	g.streams[s.id] = s
	g.mu.Unlock()
	go func() {
		g.generate(ctx, s)
		cancel()
		time.AfterFunc(finishedStreamTTL, func() { g.removeStream(s.id) })
	}()
	if !req.Stream {
		return g.writeCompletion(c, s)
	}
	c.Response().Header().Set("Stream-Id", s.id)
	return g.writeStream(c, s, 0)
}

// generate waits for a free slot and generates the output of a request until ctx is done.
func (g *Engine) generate(ctx context.Context, s *generation) {
	g.queued.Add(1)
	select {
	case g.slots <- struct{}{}:
		g.queued.Add(-1)
	case <-ctx.Done():
		g.queued.Add(-1)
		s.finish()
		return
	}
	g.running.Add(1)
	defer func() {
		g.running.Add(-1)
		<-g.slots
		s.finish()
	}()
	if !sleep(ctx, g.timeToFirstToken(s.req.prompt())) {
		return
	}
	for i := range s.req.MaxTokens {
		s.add(OutputToken(s.req.prompt(), i))
		if !sleep(ctx, g.cfg.TimePerToken) {
			return
		}
	}
}

// sleep waits for d and reports whether ctx was not done before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// prefixKeyBytes is the length of the prompt prefix that is the key of the prefix cache.
const prefixKeyBytes = 512

// timeToFirstToken returns the time to process a prompt, which is shorter if its prefix is
// cached, and caches the prefix. The oldest prefix is evicted when the cache is full.
func (g *Engine) timeToFirstToken(prompt []byte) time.Duration {
	key := xxhash.Sum64(prompt[:min(len(prompt), prefixKeyBytes)])
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cached := range g.prefixCache {
		if cached == key {
			return g.cfg.TimeToFirstToken / 2
		}
	}
	g.prefixCache = append(g.prefixCache, key)
	if len(g.prefixCache) > g.cfg.CachedPrefixes {
		g.prefixCache = g.prefixCache[1:]
	}
	return g.cfg.TimeToFirstToken
}

// load returns the load report, which is ReportLag old.
func (g *Engine) load(c echo.Context) error {
	current := limits.Load{Running: int(g.running.Load()), Queued: int(g.queued.Load())}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.ReportLag == 0 {
		g.reported = current
	}
	time.AfterFunc(g.cfg.ReportLag, func() {
		g.mu.Lock()
		g.reported = current
		g.mu.Unlock()
	})
	return c.JSON(http.StatusOK, g.reported)
}
