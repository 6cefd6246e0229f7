package gateway

import (
	"sync/atomic"
	"time"
)

// counts are what the load line tells, since the start.
type counts struct {
	opened, turnedAway, asked, refused, shed atomic.Int64
	// turningAway is in nanoseconds.
	turningAway atomic.Int64
}

// Load is what callers have asked of a server since its start, and what it holds.
type Load struct {
	// OpenedConnections connections of callers, those RejectedConnections before they were taken, Received
	// requests, those Refused as not run, and of these the ones Shed without asking a home.
	OpenedConnections, RejectedConnections, Received, Refused, Shed int64
	// RejectionTime is the time that turning connections away took.
	RejectionTime time.Duration
	// OpenConnections and ActiveRequests are open now.
	OpenConnections, ActiveRequests int64
}

// TakeTeamLoads returns what became of the requests of teams of which any was refused since
// the last call, the one that asked for most first.
func (s *Server) TakeTeamLoads(most int) []TeamLoad { return s.teams.take(most) }

// Load returns the server's load.
func (s *Server) Load() Load {
	return Load{
		OpenedConnections: s.counts.opened.Load(), RejectedConnections: s.counts.turnedAway.Load(), Received: s.counts.asked.Load(), Refused: s.counts.refused.Load(), Shed: s.counts.shed.Load(),
		RejectionTime:   time.Duration(s.counts.turningAway.Load()),
		OpenConnections: s.conns.Load(), ActiveRequests: s.requests.Load(),
	}
}
