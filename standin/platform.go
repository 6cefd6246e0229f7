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

// Platform is a fake configuration service that routers read and watch. The endpoints below
// /control do what its users do: publish configuration or take the service down.
type Platform struct {
	mu      sync.Mutex
	bundle  []byte
	vms     []byte
	changed chan struct{}
	down    atomic.Bool
	calls   atomic.Int64
}

// NewPlatform returns a Platform without a bundle and with an empty list of VMs.
func NewPlatform() *Platform {
	return &Platform{vms: []byte("[]"), changed: make(chan struct{})}
}

// Publish sets the bundle.
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

// SetDown sets whether all reads fail with status 503.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// Calls returns the number of reads so far. A watch that waits counts as one.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// Handler returns the HTTP API of the platform.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	read := e.Group("/v1", p.countRead)
	read.GET("/bundle", p.getBundle)
	read.GET("/vms", func(c echo.Context) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, p.vms)
	})
	e.PUT("/control/bundle", bodyHandler(p.Publish))
	e.PUT("/control/vms", bodyHandler(p.SetVMs))
	e.PUT("/control/down", bodyHandler(func(raw []byte) { p.SetDown(string(raw) == "true") }))
	e.GET("/control/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Calls()) })
	return e
}

// countRead is a middleware that counts reads and rejects them while the platform is down.
func (p *Platform) countRead(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.calls.Add(1)
		if p.down.Load() {
			return echo.NewHTTPError(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

// bodyHandler returns a handler that calls f with the body of the request.
func bodyHandler(f func([]byte)) echo.HandlerFunc {
	return func(c echo.Context) error {
		raw, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		f(raw)
		return c.NoContent(http.StatusNoContent)
	}
}

// getBundle returns the bundle. If the reader already has it, the call waits for a change until
// its wait time has passed.
func (p *Platform) getBundle(c echo.Context) error {
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil {
		wait = 0
	}
	timeout := time.After(wait)
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
		case <-timeout:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}
