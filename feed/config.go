package feed

import "time"

// Config tunes a Feed.
type Config struct {
	// WatchWait is how long one watch waits for changes. An unresponsive connection
	// looks like a watch without changes, so it must be short compared with
	// MaxServingAge. Each watch counts as a call to the platform.
	WatchWait time.Duration
	// MinInterval is the minimum time between two watches. A change ends the watch;
	// the interval batches a burst of changes into one more call.
	MinInterval time.Duration
	// CallMargin is how much longer than its wait a call may take until its answer starts to
	// arrive. It tolerates a platform that is sixty times slower than its usual 4 ms.
	CallMargin time.Duration
	// StallTimeout is how long an answer that has started to arrive may bring no byte.
	StallTimeout time.Duration
	// MaxReadTime is how long a call may take, with the time until its answer starts to arrive.
	MaxReadTime time.Duration
	// MaxFollowerAge is the age of the newest confirmed state at which a router
	// that relies on its peers reads the platform itself.
	MaxFollowerAge time.Duration
	// MaxServingAge is the age up to which a confirmed state may be used to serve
	// requests. Until then a revoked key may still be accepted.
	MaxServingAge time.Duration
	// JoinTime is how long a starting router waits before it reads the platform, so that it
	// has found its peers and whether it is one of the readers.
	JoinTime time.Duration
	// FirstStateWait is the minimum time for which it then waits for the state of a peer if it
	// isn't a reader, and half of the maximum. Within it the readers list the platform, and the
	// state passes through the fleet.
	FirstStateWait time.Duration
	// BackoffMin and BackoffMax bound the delay after a failed read.
	BackoffMin, BackoffMax time.Duration
}

// DefaultConfig returns a configuration that rejects revoked keys within revoke
// and applies changes within apply. 0 means that the deployment sets no bound;
// 10 s (revoke) or 5 s (apply) is used instead.
func DefaultConfig(revoke, apply time.Duration) Config {
	if revoke <= 0 {
		revoke = 10 * time.Second
	}
	if apply <= 0 {
		apply = 5 * time.Second
	}
	return Config{
		WatchWait:   min(apply/5, revoke/6, 3*time.Second),
		MinInterval: 150 * time.Millisecond,
		CallMargin:  700 * time.Millisecond,
		// Three times the shortest time after which TCP sends a lost packet again.
		StallTimeout: 600 * time.Millisecond,
		// An answer that took longer would bring a state too old to serve from.
		MaxReadTime: revoke * 9 / 10,
		// The routers that read on behalf of the others may lose the platform
		// undetected. The others must then read it themselves and still meet the
		// bounds. In normal operation a snapshot is younger: two watch waits and
		// the propagation over two routers.
		MaxFollowerAge: min(apply*3/4, revoke*6/10),
		// The last tenth is reserved for requests waiting in an upstream's queue.
		MaxServingAge:  revoke * 9 / 10,
		JoinTime:       500 * time.Millisecond,
		FirstStateWait: 3 * time.Second,
		BackoffMin:     50 * time.Millisecond,
		BackoffMax:     800 * time.Millisecond,
	}
}
