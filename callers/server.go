package callers

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/retry"
	"github.com/aspenswitch/aspenswitch/router"
)

// Headers of this API.
const (
	// HeaderOutcome tells what became of the request: not-run, unknown or ran.
	HeaderOutcome = "Aspenswitch-Outcome"
	// HeaderReplayed is set on the first run's answer given to a repeat.
	HeaderReplayed = "Aspenswitch-Replayed"
	// HeaderTimeout is how long the caller waits, such as "2.5s".
	HeaderTimeout  = "Aspenswitch-Timeout"
	headerKey      = "Idempotency-Key"
	headerRequest  = "X-Request-Id"
	maxIDLen       = 128
	readHeaderTime = 10 * time.Second
)

// Server is the callers' HTTP API.
type Server struct {
	router *router.Router
	log    zerolog.Logger
	policy retry.Policy
}

// New returns the API of a router.
func New(r *router.Router, log zerolog.Logger) *Server {
	return &Server{router: r, log: log, policy: retry.DefaultPolicy()}
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = s.handleError
	e.Use(s.observe)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.ready)
	api := e.Group("", s.authenticate)
	api.GET("/v1/models", s.models)
	api.POST("/v1/chat/completions", s.complete)
	api.POST("/v1/completions", s.complete)
	api.Any("/services/:service", s.service)
	api.Any("/services/:service/*", s.service)
	return e
}

// NewHTTPServer returns a server with the bounds that a public listener needs.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTime, IdleTimeout: time.Minute}
}

// ready tells the platform's balancer whether to send callers here.
func (s *Server) ready(c echo.Context) error {
	if !s.router.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// observe gives each request its id, a log line and counters.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		rec := &record{id: requestID(c.Request()), started: time.Now(), outcome: retry.Ran}
		c.Set(recordKey, rec)
		c.Response().Header().Set(headerRequest, rec.id)
		err := next(c)
		cut := err != nil && c.Response().Committed && !rec.ended
		if err != nil {
			c.Error(err)
		}
		s.finish(c, rec)
		if cut {
			// A handler that returns ends the body properly, and the caller would
			// take a part of an answer for the whole.
			panic(http.ErrAbortHandler)
		}
		return nil
	}
}

// requestID takes the caller's id if it is fit for a log line.
func requestID(r *http.Request) string {
	id := r.Header.Get(headerRequest)
	if id == "" || len(id) > maxIDLen {
		return uuid.Must(uuid.NewV7()).String()
	}
	return id
}

func (s *Server) finish(c echo.Context, rec *record) {
	tags := map[string]string{"outcome": string(rec.outcome)}
	s.router.Metrics().Scope.Tagged(tags).Counter("requests").Inc(1)
	level := zerolog.InfoLevel
	if rec.team == "" {
		level = zerolog.DebugLevel
	}
	s.log.WithLevel(level).Str("request", rec.id).Str("team", rec.team).
		Str("path", c.Request().URL.Path).Int("status", c.Response().Status).
		Str("outcome", string(rec.outcome)).Str("upstream", rec.upstream).
		Int("attempts", rec.attempts).Dur("wait", rec.wait).
		Dur("took", time.Since(rec.started)).Msg("request")
}
