package gateway

import (
	"time"

	"github.com/aspenswitch/aspenswitch/limits"
)

// Config tunes a Server.
type Config struct {
	Headers HeaderNames
	// ShutdownDelay is how long a stopping server goes on accepting, so that the
	// balancer and callers have moved before the listener closes.
	ShutdownDelay time.Duration
	// ForwardPeriod is how long a stopping server still sends requests to upstreams. An
	// answer that begins later might be cut when the grace ends, so the caller
	// is sent to another router instead.
	ForwardPeriod time.Duration
	// GracePeriod is how long running answers may go on after a stop.
	GracePeriod time.Duration
	// Regions are the regions of failure domains.
	Regions map[string]string
	// Limits until a configuration is known.
	HeaderTimeout, IdleTimeout time.Duration
	MaxHeaderBytes             int
	// MaxKeepAliveConns is the number of callers' connections above which answers close
	// theirs. Callers who are refused come back on new connections and keep the
	// old: without a bound they take all descriptors, and then no upstream can
	// be reached.
	MaxKeepAliveConns int
	// MaxConns is the number of callers' connections above which new ones aren't taken,
	// and are told to come back.
	// It is above KeepConns: answers close the connections between the two, so that
	// places become free.
	MaxConns int
	// ListenBacklog is how many new connections wait to be taken, at most.
	ListenBacklog int
	// MaxRequests is how many requests are held at once. Each takes memory until
	// it ends; one more than fit would end the process and all of them.
	MaxRequests int
	// Shed tunes what is refused without asking.
	Shed limits.ShedConfig
	// MaxViewAge is how old the view may be for a router that is behind to send on
	// it: within the bound for leaving upstreams, with room for the way there.
	MaxViewAge time.Duration
	// DefaultDeadline is for callers that don't say how long they wait.
	DefaultDeadline time.Duration
	// DeadlineMargin is how long before a caller's deadline it is told that no answer
	// comes: the answer must still reach it.
	DeadlineMargin time.Duration
}

const (
	// ConnBytes is the memory that a caller's connection may take: two buffers of
	// net/http and a stack.
	ConnBytes = 24 << 10
	// UnreadBytes is what the kernel may hold of a request beside that until it is read:
	// the body of a long prompt.
	UnreadBytes = 16 << 10
	// RequestBytes is what a waiting request may take beside that: its body, its
	// upstream connection and their buffers.
	RequestBytes = 64 << 10
)

// Fit derives the bounds that keep the process within its memory and its
// descriptors.
func (c *Config) Fit(memory int64, files int) {
	c.MaxKeepAliveConns = max(min(files/4, int(memory/6/ConnBytes)), 1)
	c.MaxConns = max(min(files/2, int(memory/4/(ConnBytes+UnreadBytes))), c.MaxKeepAliveConns*5/4)
	c.ListenBacklog = max(int(memory/16/UnreadBytes), 1)
	c.MaxRequests = max(min(files/3, int(memory/2/RequestBytes)), 1)
}

// DefaultConfig returns the settings that a deployment changes.
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
		MaxViewAge:        1600 * time.Millisecond,
		DefaultDeadline:   15 * time.Second,
		DeadlineMargin:    10 * time.Millisecond,
	}
}
