package availability

import "time"

const (
	// minSilentUpstreams is the number of upstreams that must leave connection attempts unanswered, and
	// none answer meanwhile, before a router concludes that it has no path to any. Two may have lost
	// power together.
	minSilentUpstreams = 3
	// silenceWindow is the age up to which an unanswered attempt counts. A router that receives few
	// requests must not combine losses of upstreams that are minutes apart.
	silenceWindow = 3 * time.Second
	// pathProbeInterval is the time between two requests that a router without a path sends, to find
	// out whether it has one again. It is short compared to the targets of requests.
	pathProbeInterval = 200 * time.Millisecond
)

// Path detects that a router reaches none of the upstreams, as when its links are cut. A Path isn't
// safe for concurrent use.
type Path struct {
	// silent has the upstreams that left a connection attempt unanswered since reachedAt, each with the
	// time at which the newest such attempt began.
	silent    map[string]time.Duration
	reachedAt time.Duration
	probedAt  time.Duration
}

// NewPath returns the state of a router that has not tried to reach any upstream.
func NewPath() *Path { return &Path{silent: map[string]time.Duration{}} }

// RecordReached records that an upstream has answered in any way.
func (p *Path) RecordReached(now time.Duration) {
	p.reachedAt = now
	clear(p.silent)
}

// RecordSilent records that an upstream hasn't answered a connection attempt that began at the given
// time. The attempt counts only if no upstream has answered since.
func (p *Path) RecordSilent(began time.Duration, upstream string) {
	if began >= p.reachedAt {
		p.silent[upstream] = max(p.silent[upstream], began)
	}
}

// Lost reports whether the router currently reaches no upstream.
func (p *Path) Lost(now time.Duration) bool {
	recent := 0
	for id, began := range p.silent {
		if now-began > silenceWindow {
			delete(p.silent, id)
			continue
		}
		recent++
	}
	return recent >= minSilentUpstreams
}

// MaySend reports whether a request may be sent: any while the router has a path, and otherwise one
// per pathProbeInterval.
func (p *Path) MaySend(now time.Duration) bool {
	if !p.Lost(now) {
		return true
	}
	if now-p.probedAt < pathProbeInterval {
		return false
	}
	p.probedAt = now
	return true
}
