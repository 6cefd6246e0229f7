package gateway

import (
	"sync/atomic"
	"time"
)

// counts are the totals of Load since the start of the process.
type counts struct {
	opened, rejected, received, refused, shed, busy atomic.Int64
	// rejectionTime is in nanoseconds.
	rejectionTime atomic.Int64
}

// Load holds a server's request totals since its start and its current usage.
type Load struct {
	// OpenedConnections were accepted from callers, RejectedConnections were refused
	// before they were accepted. Of the Received requests, Refused counts those with the
	// outcome not-run, Shed those of them that were refused without asking a home, and Busy those that
	// were refused because this router is overloaded or holds too many requests.
	OpenedConnections, RejectedConnections, Received, Refused, Shed, Busy int64
	// RejectionTime is the total time spent on rejecting connections.
	RejectionTime time.Duration
	// OpenConnections and ActiveRequests are the current numbers.
	OpenConnections, ActiveRequests int64
}

// TakeTeamLoads returns the loads of at most limit teams that had a request refused since
// the last call, ordered by requested tokens, and resets the loads of all teams.
func (s *Server) TakeTeamLoads(limit int) []TeamLoad { return s.teams.take(limit) }

// Load returns the current totals and usage.
func (s *Server) Load() Load {
	return Load{
		OpenedConnections: s.counts.opened.Load(), RejectedConnections: s.counts.rejected.Load(), Received: s.counts.received.Load(), Refused: s.counts.refused.Load(), Shed: s.counts.shed.Load(), Busy: s.counts.busy.Load(),
		RejectionTime:   time.Duration(s.counts.rejectionTime.Load()),
		OpenConnections: s.openConns.Load(), ActiveRequests: s.activeRequests.Load(),
	}
}
