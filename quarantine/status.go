package quarantine

import "time"

// Status determines how requests with a key are handled.
type Status uint8

// Statuses in increasing order of severity.
const (
	// Normal requests are sent and may be retried.
	Normal Status = iota
	// Suspect requests are sent but not retried after a crash.
	Suspect
	// Quarantined requests are refused, except for trials.
	Quarantined
)

// String returns the status as it appears in logs.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "normal"
	}
}

// Crash reports one request that was interrupted because its upstream closed the connection.
// A crash of the upstream's process yields one Crash for each request that it was handling.
type Crash struct {
	ID Key
	// Team is the team of the request.
	Team string
	// Upstream identifies the upstream's incarnation.
	Upstream uint32
	// Sent is when the request was sent to the upstream.
	Sent time.Duration
}

// Interruption is a request that was interrupted because its upstream closed the connection.
type Interruption struct {
	// Keys are what may have made it crash the upstream. TrialOf are those of them of which it was a
	// trial.
	Keys, TrialOf []Key
	Team          string
}

// Notice informs other routers of the status of a key.
type Notice struct {
	ID     Key
	Status Status
	// Version is incremented with each status change. The notice with the higher version
	// takes precedence; with equal versions, the more severe status does.
	Version uint32
	// Left is the remaining time for which the status is valid.
	Left time.Duration
	// FailedTrials is the number of failed trials in the current quarantine.
	FailedTrials int
	// Proven is set if a router has seen that the key was harmless before the quarantine.
	Proven bool
}

// Entry describes the state of a key in a Table.
type Entry struct {
	ID      Key
	Status  Status
	Crashes int
	// FailedTrials is the number of failed trials in the current quarantine.
	FailedTrials int
	// Left is the time until the status expires.
	Left time.Duration
}
