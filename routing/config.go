// Package routing defines the configuration of a fleet: which service a request is routed to, who
// may send it, and within which limits. It performs no I/O and starts no goroutines.
package routing

import (
	"time"

	"github.com/aspenswitch/aspenswitch/warmup"
)

// Config is one version of the configuration. It is immutable.
type Config struct {
	// Version increases with every change.
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route routes the requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest matching prefix takes precedence.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until a response is complete.
	Timeout time.Duration
	// Target is the time to the first byte within which a response is of full use to the caller.
	Target time.Duration
	// Gap is the target for the maximum time between two events of a stream.
	Gap time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Split distributes the requests over services by weight.
	Split []Share
	// MaxAttempts is the maximum number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Sticky is set if requests identify the parts of their prompt. They run faster at an
	// upstream that has these parts cached.
	Sticky bool
	// Resumable is set if a stream may continue at another upstream.
	Resumable bool
	// Regions are the regions whose upstreams may serve the route. Empty means all.
	Regions []string
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Share is the weight of a service in a route's Split.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that each upstream accepts from all routers
	// together.
	MaxConns int
	// Engine is set if the upstreams are model engines.
	Engine *Engine
	// WarmUp is the limit that applies to each upstream after its start.
	WarmUp warmup.Limit
}

// Engine describes a model engine.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// KVTokens is the capacity of the KV cache in tokens. Running requests and cached prompt
	// parts share it.
	KVTokens int
	// KVTokenBytes is the size of a cached token when an engine copies it from another, and
	// LinkMbps the rate of such a copy. 0 means that engines don't copy.
	KVTokenBytes int
	LinkMbps     float64
}

// Team is a tenant that is identified by its API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority int
	// Ranked is set if the team has a Priority, which then overrides the route's.
	Ranked bool
	// Regions are the regions whose upstreams may serve the team. Empty means all.
	Regions []string
}

// Limits are the limits on callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// TokensPerSecond is the throughput of all engines together, or 0 if it is unknown. An input
	// token counts once, a generated token twice.
	TokensPerSecond float64
}
