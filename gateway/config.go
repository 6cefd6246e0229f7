package gateway

import (
	"time"

	"github.com/aspenswitch/aspenswitch/limits"
)

// Config configures a Server.
type Config struct {
	Headers HeaderNames
	// ShutdownDelay is how long a stopping server keeps accepting connections, so that
	// the load balancer and callers have moved to other routers before the listener closes.
	ShutdownDelay time.Duration
	// ForwardPeriod is how long a stopping server still forwards new requests. A response
	// that starts later might be truncated at the end of the grace period, so the caller
	// is asked to retry, at another router, instead.
	ForwardPeriod time.Duration
	// GracePeriod is how long running responses may continue after Shutdown is called.
	GracePeriod time.Duration
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// These limits apply until a configuration has been loaded.
	HeaderTimeout, IdleTimeout time.Duration
	MaxHeaderBytes             int
	// MaxKeepAliveConns is the number of callers' connections above which each response
	// closes its connection. Refused callers retry on new connections and keep the old
	// ones open: without a limit they use up all file descriptors, and then no upstream
	// can be reached.
	MaxKeepAliveConns int
	// MaxConns is the maximum number of callers' connections; further ones are refused
	// and asked to retry. It is above MaxKeepAliveConns, since responses close the
	// connections between the two limits and thereby free slots.
	MaxConns int
	// OutOfRotation reports whether this router has left the load balancer because it is overloaded. It
	// may be nil.
	OutOfRotation func() bool
	// ListenBacklog is the maximum number of connections waiting to be accepted.
	ListenBacklog int
	// MaxRequests is the maximum number of concurrent requests. Each uses memory until it
	// ends; if they exceeded the memory limit, the process would be killed and all of
	// them lost.
	MaxRequests int
	// RuntimeMemory is the memory in bytes that is left to the Go runtime, 0 if there is no limit.
	RuntimeMemory int64
	// Shed configures which requests are refused without asking a home.
	Shed limits.ShedConfig
	// MaxStateAge is the maximum age of the state with which an overloaded router still
	// sends requests. It is below the time within which requests to leaving upstreams
	// must stop, and leaves room for the transmission of a request.
	MaxStateAge time.Duration
	// DefaultDeadline applies to requests without a deadline header.
	DefaultDeadline time.Duration
	// DeadlineMargin is how long before the caller's deadline a timeout response is sent,
	// so that it still arrives in time.
	DeadlineMargin time.Duration
}

// DefaultConfig returns the default settings, which a deployment may override.
func DefaultConfig() Config {
	return Config{
		ShutdownDelay:     3500 * time.Millisecond,
		ForwardPeriod:     2500 * time.Millisecond,
		GracePeriod:       8 * time.Second,
		HeaderTimeout:     3 * time.Second,
		IdleTimeout:       15 * time.Second,
		MaxHeaderBytes:    16 << 10,
		MaxKeepAliveConns: 1000,
		MaxConns:          1500,
		ListenBacklog:     512,
		MaxRequests:       2000,
		Shed:              limits.DefaultShedConfig(),
		MaxStateAge:       1600 * time.Millisecond,
		DefaultDeadline:   15 * time.Second,
		DeadlineMargin:    10 * time.Millisecond,
	}
}
