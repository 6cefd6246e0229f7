package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/abort"
	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/router"
)

// Headers of this API.
const (
	// HeaderOutcome is the outcome of the request: not-run, unknown or ran.
	HeaderOutcome = "Aspenswitch-Outcome"
	// HeaderReplayed is set if the response is that of the key's first run.
	HeaderReplayed = "Aspenswitch-Replayed"
	// HeaderTimeout is the time that the caller waits, such as "2.5s".
	HeaderTimeout        = "Aspenswitch-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	maxRequestIDLen      = 128
	readHeaderTimeout    = 10 * time.Second
)

// Server serves the callers' HTTP API.
type Server struct {
	router *router.Router
	log    zerolog.Logger
	policy retry.Policy
	// aborted ends when the running requests are aborted at the end of a shutdown.
	aborted context.Context
	abort   context.CancelFunc
}

// New returns the API server of a router.
func New(r *router.Router, log zerolog.Logger) *Server {
	aborted, abort := context.WithCancel(context.Background())
	return &Server{router: r, log: log, policy: retry.DefaultPolicy(), aborted: aborted, abort: abort}
}

// Abort ends the running requests. Their callers are told that the outcome is unknown.
func (s *Server) Abort() { s.abort() }

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.handleError
	e.Use(s.instrument)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.handleReady)
	api := e.Group("", s.authenticate)
	api.GET("/v1/models", s.handleModels)
	api.POST("/v1/chat/completions", s.handleCompletion)
	api.POST("/v1/completions", s.handleCompletion)
	api.Any("/services/:service", s.handleService)
	api.Any("/services/:service/*", s.handleService)
	return e
}

// NewHTTPServer returns an HTTP server with the timeouts that a public listener
// needs.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute}
}

// handleReady reports to the platform's load balancer whether this router accepts
// callers.
func (s *Server) handleReady(c echo.Context) error {
	if !s.router.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// instrument adds a request ID, a log line and metrics to each request.
func (s *Server) instrument(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		rec := &requestRecord{id: requestID(c.Request()), started: time.Now(), outcome: retry.Ran}
		c.Set(recordContextKey, rec)
		c.Response().Header().Set(headerRequestID, rec.id)
		err := next(c)
		truncated := err != nil && c.Response().Committed && !rec.errorEventSent
		if err != nil {
			c.Error(err)
		}
		s.logRequest(c, rec)
		if truncated {
			abort.Response(c.Response().Writer, c.Request())
		}
		return nil
	}
}

// requestID returns the caller's request ID, or a new one if it is missing or too
// long for a log line.
func requestID(r *http.Request) string {
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDLen {
		return uuid.Must(uuid.NewV7()).String()
	}
	return id
}

func (s *Server) logRequest(c echo.Context, rec *requestRecord) {
	tags := map[string]string{"outcome": string(rec.outcome)}
	s.router.Metrics().Scope.Tagged(tags).Counter("requests").Inc(1)
	level := zerolog.InfoLevel
	if rec.team == "" {
		level = zerolog.DebugLevel
	}
	s.log.WithLevel(level).Str("request", rec.id).Str("team", rec.team).
		Str("path", c.Request().URL.Path).Int("status", c.Response().Status).
		Str("outcome", string(rec.outcome)).Str("upstream", rec.upstream).
		Int("attempts", rec.attempts).Dur("wait", rec.slotWait).
		Dur("took", time.Since(rec.started)).Msg("request")
}
