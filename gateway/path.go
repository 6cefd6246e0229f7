package gateway

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/aspenswitch/aspenswitch/availability"
	"github.com/aspenswitch/aspenswitch/obs"
)

// upstreamPath is an availability.Path that is safe for concurrent use.
type upstreamPath struct {
	mu   sync.Mutex
	path *availability.Path
	lost bool
}

func newUpstreamPath() *upstreamPath { return &upstreamPath{path: availability.NewPath()} }

// update changes the path and reports whether it is lost, and whether that has changed.
func (p *upstreamPath) update(now time.Duration, change func(*availability.Path)) (lost, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p.path)
	lost = p.path.Lost(now)
	changed = lost != p.lost
	p.lost = lost
	return lost, changed
}

// updatePath records whether an upstream has answered, and reports whether this router currently
// reaches none.
func (s *Server) updatePath(change func(*availability.Path)) (lost bool) {
	lost, changed := s.path.update(time.Since(s.start), change)
	if changed {
		message := "upstreams answer connection attempts again"
		if lost {
			message = "no upstream answers connection attempts; refusing requests"
		}
		s.log.Warn("path", func(e *obs.Event) { e.Bool("lost", lost).Msg(message) })
	}
	return lost
}

// pathAnswered records that an upstream has answered.
func (s *Server) pathAnswered() {
	s.updatePath(func(p *availability.Path) { p.RecordReached(time.Since(s.start)) })
}

// recordConnectError records a connection attempt that failed, and reports whether this router
// currently reaches no upstream. A refused connection is an answer.
func (s *Server) recordConnectError(began time.Time, id string, err error) (lost bool) {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.pathAnswered()
		return false
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return s.updatePath(func(p *availability.Path) { p.RecordSilent(began.Sub(s.start), id) })
	}
	return false
}

// refuseWithoutPath refuses a request at once if this router reaches no upstream. Some requests are
// sent nevertheless, as probes.
func (s *Server) refuseWithoutPath() *refusal {
	maySend := true
	s.updatePath(func(p *availability.Path) { maySend = p.MaySend(time.Since(s.start)) })
	if maySend {
		return nil
	}
	s.stats.noPath.Inc(1)
	return noPath()
}

func noPath() *refusal {
	return notRun("no_path", "this router reaches no upstream; the request was not run", defaultRetryAfter)
}
