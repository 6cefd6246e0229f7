package feed

import "time"

// Config tunes a Feed.
type Config struct {
	// WatchWait is how long one watch waits. A connection that has gone silent
	// looks like a watch with nothing to tell, so it must be short against
	// Authority; each watch is a call that the platform counts.
	WatchWait time.Duration
	// MinInterval is the least time between two watches. A change ends the watch;
	// where many come together, one more call takes them all.
	MinInterval time.Duration
	// CallMargin is how much longer than its wait a call may take. It answers a
	// platform that is sixty times slower than its usual 4 ms.
	CallMargin time.Duration
	// MaxFollowerAge is the age of the newest confirmed state from which a router
	// that relies on its peers reads by itself.
	MaxFollowerAge time.Duration
	// MaxServingAge is how long a confirmed state may be acted upon: until then a
	// key that has been taken away may still be served.
	MaxServingAge time.Duration
	// BackoffMin and BackoffMax bound the pause between failed reads.
	BackoffMin, BackoffMax time.Duration
}

// DefaultConfig returns a configuration for keys that must end within revoke of
// being taken away, and changes that must be in force within apply. 0 means that
// there is no such bound.
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
		// The routers that read for the others may be cut off from the platform
		// without a sign. The others must then read by themselves and still be in
		// time. In good order a view is younger: two waits, and the way over two
		// routers.
		MaxFollowerAge: min(apply*3/4, revoke*6/10),
		// The last tenth is left for requests that wait in an upstream's queue.
		MaxServingAge: revoke * 9 / 10,
		BackoffMin:    50 * time.Millisecond,
		BackoffMax:    800 * time.Millisecond,
	}
}
