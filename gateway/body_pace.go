package gateway

import "time"

// minBodyRate is the least average rate of a body in bytes per second: half of the slowest uplinks in
// use (64 kbit/s). A slower body would hold the memory of its request for minutes.
const minBodyRate = 4 << 10

// bodyPace bounds how long a body may take.
type bodyPace struct {
	start time.Time
	// grace is the time that a caller has beyond what minBodyRate gives it, for a connection that stalls.
	grace time.Duration
	// end is when the request can't be served any more.
	end time.Time
}

// deadline returns until when the next bytes must arrive, if the given number has been received.
func (p bodyPace) deadline(received int64) time.Time {
	allowed := p.start.Add(p.grace + time.Duration(float64(received)/minBodyRate*float64(time.Second)))
	if allowed.Before(p.end) {
		return allowed
	}
	return p.end
}
