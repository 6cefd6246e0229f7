package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Service is a fake plain service that counts its runs by Idempotency-Key.
type Service struct {
	// ProcessingTime is the duration of a run.
	ProcessingTime time.Duration
	// DisconnectAfterRuns is the number of the first run that ends with an aborted connection
	// instead of a response, as do all later ones; 0 disables this.
	DisconnectAfterRuns int
	mu                  sync.Mutex
	runs                map[string]int
	total               int
}

// NewService returns a Service whose runs take processingTime.
func NewService(processingTime time.Duration) *Service {
	return &Service{ProcessingTime: processingTime, runs: map[string]int{}}
}

// ServiceResponse is the response to a run; it contains the request.
type ServiceResponse struct {
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}

// Handler returns the HTTP API of the service.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.GET("/control/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Runs()) })
	e.Any("/*", s.run)
	return e
}

// Runs returns the number of runs by Idempotency-Key.
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
	run, disconnect := s.runs[key], s.DisconnectAfterRuns > 0 && s.total >= s.DisconnectAfterRuns
	s.mu.Unlock()
	time.Sleep(s.ProcessingTime)
	if disconnect {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusCreated, ServiceResponse{
		Key: key, Run: run, Method: c.Request().Method,
		Path: c.Request().URL.Path, Query: c.Request().URL.RawQuery, Body: string(body),
	})
}
