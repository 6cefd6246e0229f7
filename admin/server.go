package admin

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/router"
)

// Server serves the operators' API of one router.
type Server struct {
	router    *router.Router
	tokenHash string
	drain     func()
}

// New returns a server for r. tokenHash is the hash of the operators' token from the
// settings; drain starts a graceful shutdown of the process without blocking.
func New(r *router.Router, tokenHash string, drain func()) *Server {
	return &Server{router: r, tokenHash: tokenHash, drain: drain}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Use(s.authenticate)
	e.GET("/status", s.status)
	e.GET("/bundle", s.bundle)
	e.GET("/teams", s.teams)
	e.GET("/upstreams", s.upstreams)
	e.GET("/dump", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, s.router.Dump(), "  ") })
	e.GET("/metrics", echo.WrapHandler(s.router.Metrics().Handler))
	e.POST("/drain", s.startDrain)
	return e
}

// authenticate rejects requests without the operators' token. It compares hashes in
// constant time, so that response times reveal nothing about the token.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		hash := bundle.HashKey(token)
		if subtle.ConstantTimeCompare([]byte(hash), []byte(s.tokenHash)) != 1 {
			return echo.NewHTTPError(http.StatusUnauthorized, "the operators' token is needed")
		}
		return next(c)
	}
}

// Status summarizes a router's state.
type Status struct {
	Name          string           `json:"name"`
	FailureDomain string           `json:"failureDomain"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	InForce       bundle.VersionID `json:"bundleInForce"`
	Live          []string         `json:"live"`
	Waiting       int              `json:"waiting"`
	Running       int              `json:"running"`
	HomeOf        int              `json:"homeOf"`
	PeerBytes     int64            `json:"peerBytesSent"`
	PlatformCalls int64            `json:"platformCalls"`
}

func (s *Server) status(c echo.Context) error {
	d := s.router.Dump()
	homeOf := 0
	for _, p := range d.Scheduler.Pools {
		for _, u := range p.Upstreams {
			if u.IsHome {
				homeOf++
			}
		}
	}
	return c.JSON(http.StatusOK, Status{
		Name: d.Name, FailureDomain: d.FailureDomain, Ready: d.Ready, Leaving: d.Scheduler.Draining,
		InForce: d.InForce, Live: d.Scheduler.Live, Waiting: d.Scheduler.Waiting, Running: d.Scheduler.Running,
		HomeOf: homeOf, PeerBytes: d.PeerBytes, PlatformCalls: d.PlatformCalls,
	})
}

func (s *Server) bundle(c echo.Context) error {
	b := s.router.Bundle()
	if b == nil {
		return echo.NewHTTPError(http.StatusNotFound, "no bundle is in force")
	}
	return c.JSONPretty(http.StatusOK, b, "  ")
}

func (s *Server) teams(c echo.Context) error {
	return c.JSONPretty(http.StatusOK, s.router.Dump().Scheduler.Pools, "  ")
}

func (s *Server) upstreams(c echo.Context) error {
	b := s.router.Bundle()
	if b == nil {
		return echo.NewHTTPError(http.StatusNotFound, "no bundle is in force")
	}
	return c.JSONPretty(http.StatusOK, b.Upstreams, "  ")
}

func (s *Server) startDrain(c echo.Context) error {
	s.drain()
	return c.NoContent(http.StatusAccepted)
}
