package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Service is a plain service that counts what it ran by key.
type Service struct {
	// ProcessingTime is how long a run takes.
	ProcessingTime time.Duration
	// DisconnectAfterRuns cuts the connection after this many runs instead of
	// answering, counted from the first; 0 never.
	DisconnectAfterRuns int
	mu                  sync.Mutex
	runs                map[string]int
	total               int
}

// NewService returns a service.
func NewService(takes time.Duration) *Service {
	return &Service{ProcessingTime: takes, runs: map[string]int{}}
}

// ServiceResponse is the service's answer to a run.
type ServiceResponse struct {
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}

// Handler returns the routes.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.GET("/control/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Runs()) })
	e.Any("/*", s.run)
	return e
}

// Runs counts the runs by Idempotency-Key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

func (s *Service) run(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	key := c.Request().Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.total++
	s.runs[key]++
	run, cut := s.runs[key], s.DisconnectAfterRuns > 0 && s.total >= s.DisconnectAfterRuns
	s.mu.Unlock()
	time.Sleep(s.ProcessingTime)
	if cut {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusCreated, ServiceResponse{
		Key: key, Run: run, Method: c.Request().Method,
		Path: c.Request().URL.Path, Query: c.Request().URL.RawQuery, Body: string(body),
	})
}
