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

// EngineConfig says how an engine behaves.
type EngineConfig struct {
	Slots int
	// TimeToFirstToken and TimePerToken are how long a prompt and each token take.
	TimeToFirstToken, TimePerToken time.Duration
	// CachedPrefixes is how many prompt starts the prefix cache holds; a hit
	// halves the time to the first token.
	CachedPrefixes int
	// ReportLag is how old load reports are.
	ReportLag time.Duration
	// DisconnectAfterEvents cuts a stream's connection after so many events; 0 never.
	DisconnectAfterEvents int
}

// Engine is a model engine: it admits requests as they come, up to its slots,
// and queues the others. Streams go on without their reader until cancelled.
type Engine struct {
	cfg     EngineConfig
	slots   chan struct{}
	running atomic.Int64
	queued  atomic.Int64
	mu      sync.Mutex
	streams map[string]*generation
	cache   []uint64
	report  limits.Load
}

// NewEngine returns an engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots),
		streams: map[string]*generation{},
	}
}

// Handler returns the routes.
func (g *Engine) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/chat/completions", g.complete)
	e.POST("/v1/completions", g.complete)
	e.GET("/v1/streams/:id", g.resume)
	e.DELETE("/v1/streams/:id", g.cancel)
	e.GET("/load", g.load)
	return e
}

// engineRequest is what the engine reads of a completion.
type engineRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

func (r engineRequest) text() []byte {
	if len(r.Messages) > 0 {
		return r.Messages
	}
	return r.Prompt
}

// OutputToken is the i-th token that engines answer a prompt with. Callers check
// answers by it.
func OutputToken(prompt []byte, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64(prompt)), i)
}

const (
	defaultTokens = 16
	// keepFinished is how long a finished stream may still be resumed.
	keepFinished = 5 * time.Second
)

func (g *Engine) forget(id string) {
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
		req.MaxTokens = defaultTokens
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.Request().Context()))
	s := &generation{id: uuid.NewString(), req: req, cancel: cancel, more: make(chan struct{})}
	g.mu.Lock()
	g.streams[s.id] = s
	g.mu.Unlock()
	go func() {
		g.generate(ctx, s)
		cancel()
		time.AfterFunc(keepFinished, func() { g.forget(s.id) })
	}()
	if !req.Stream {
		return g.whole(c, s)
	}
	c.Response().Header().Set("Stream-Id", s.id)
	return g.write(c, s, 0)
}

// generate runs a request when a slot is free.
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
	if !pause(ctx, g.firstToken(s.req.text())) {
		return
	}
	for i := range s.req.MaxTokens {
		s.add(OutputToken(s.req.text(), i))
		if !pause(ctx, g.cfg.TimePerToken) {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// prefixBytes is how much of a prompt the cache is keyed by.
const prefixBytes = 512

// firstToken is shorter for a prompt whose start is cached.
func (g *Engine) firstToken(prompt []byte) time.Duration {
	start := xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cached := range g.cache {
		if cached == start {
			return g.cfg.TimeToFirstToken / 2
		}
	}
	g.cache = append(g.cache, start)
	if len(g.cache) > g.cfg.CachedPrefixes {
		g.cache = g.cache[1:]
	}
	return g.cfg.TimeToFirstToken
}

// load reports what was true ReportLag ago.
func (g *Engine) load(c echo.Context) error {
	now := limits.Load{Running: int(g.running.Load()), Queued: int(g.queued.Load())}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.ReportLag == 0 {
		g.report = now
	}
	time.AfterFunc(g.cfg.ReportLag, func() {
		g.mu.Lock()
		g.report = now
		g.mu.Unlock()
	})
	return c.JSON(http.StatusOK, g.report)
}
