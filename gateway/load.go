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
	// Opened connections of callers, those TurnedAway before they were taken, Asked
	// requests, those Refused as not run, and of these the ones Shed without asking a home.
	Opened, TurnedAway, Asked, Refused, Shed int64
	// TurningAway is the time that turning connections away took.
	TurningAway time.Duration
	// Connections and Requests are open now.
	Connections, Requests int64
}

// TeamLoads returns what became of the requests of teams of which any was refused since
// the last call, the one that asked for most first.
func (s *Server) TeamLoads(most int) []TeamLoad { return s.teams.take(most) }

// Load returns the server's load.
func (s *Server) Load() Load {
	return Load{
		Opened: s.counts.opened.Load(), TurnedAway: s.counts.turnedAway.Load(), Asked: s.counts.asked.Load(), Refused: s.counts.refused.Load(), Shed: s.counts.shed.Load(),
		TurningAway: time.Duration(s.counts.turningAway.Load()),
		Connections: s.conns.Load(), Requests: s.requests.Load(),
	}
}
