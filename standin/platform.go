package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

// Platform is a configuration service that routers read and watch. What users
// do to it (publish, take down) goes through /control.
type Platform struct {
	mu      sync.Mutex
	bundle  []byte
	vms     []byte
	changed chan struct{}
	down    atomic.Bool
	calls   atomic.Int64
}

// NewPlatform returns a platform with nothing published and an empty list.
func NewPlatform() *Platform {
	return &Platform{vms: []byte("[]"), changed: make(chan struct{})}
}

// Publish sets the bundle, as users do.
func (p *Platform) Publish(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bundle = raw
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs sets the list of VMs.
func (p *Platform) SetVMs(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = raw
}

// SetDown makes every read fail, or none.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// Calls is the number of reads so far, a waiting watch as one.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// Handler returns the routes.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	read := e.Group("/v1", p.count)
	read.GET("/bundle", p.getBundle)
	read.GET("/vms", func(c echo.Context) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, p.vms)
	})
	e.PUT("/control/bundle", take(p.Publish))
	e.PUT("/control/vms", take(p.SetVMs))
	e.PUT("/control/down", take(func(raw []byte) { p.SetDown(string(raw) == "true") }))
	e.GET("/control/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Calls()) })
	return e
}

func (p *Platform) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.calls.Add(1)
		if p.down.Load() {
			return echo.NewHTTPError(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

// take hands a request's body to f.
func take(f func([]byte)) echo.HandlerFunc {
	return func(c echo.Context) error {
		raw, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		f(raw)
		return c.NoContent(http.StatusNoContent)
	}
}

// getBundle answers at once if the bundle is not the one that the reader has,
// else when it changes or the wait is over.
func (p *Platform) getBundle(c echo.Context) error {
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil {
		wait = 0
	}
	over := time.After(wait)
	for {
		p.mu.Lock()
		raw, changed := p.bundle, p.changed
		p.mu.Unlock()
		sum := sha256.Sum256(raw)
		tag := hex.EncodeToString(sum[:])
		if raw != nil && tag != c.QueryParam("after") {
			c.Response().Header().Set("ETag", tag)
			return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
		}
		select {
		case <-changed:
		case <-over:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}
