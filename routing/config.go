// Package routing holds the operators' configuration of a fleet: which request
// goes to which service, who may send it, and within which limits. It is pure.
package routing

import (
	"time"

	"github.com/aspenswitch/aspenswitch/warmup"
)

// Config is one version of the configuration. It isn't changed once made.
type Config struct {
	// Version only grows.
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route sends the requests of a host whose path has a prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest that fits wins.
	Prefix string
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Target is the time to the first byte within which an answer is of full use.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// Split divides the requests among services by weight.
	Split []Share
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky requests name the parts of their prompt; they run faster where
	// those are cached.
	Sticky bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Regions are those whose upstreams may serve the route; empty means all.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that do the same.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections each upstream takes from all routers.
	MaxConns int
	// Engine is set for model engines.
	Engine *Engine
	// WarmUp is how the upstreams warm up after a start.
	WarmUp warmup.Limit
}

// Engine describes a model engine.
type Engine struct {
	// Slots is how many requests are batched at once.
	Slots int
	// KVTokens is the KV cache's size, shared by running requests and cached
	// prompt parts.
	KVTokens int
	// KVTokenBytes is what a cached token weighs when an engine copies it from
	// another; LinkMbps is how fast. 0 means that engines don't copy.
	KVTokenBytes int
	LinkMbps     float64
}

// Team holds API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority int
	// Ranked is set if Priority replaces the route's.
	Ranked bool
	// Regions are those whose upstreams may serve the team; empty means all.
	Regions []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// TokensPerSecond is what all engines together yield; a token read counts
	// once, a token generated twice. 0 is not known.
	TokensPerSecond float64
}
