package warmup

// Probing limits the requests that one home sends to an upstream of which only probes show whether
// it has to warm up again. An answer that it needn't holds for the time up to that answer. If the
// upstream turns cold at any later moment, the requests that then arrive were sent after that
// probe, and there are at most Limit of them before the next answer shows it.
type Probing struct {
	// Limit is the number of requests that may be sent after the last probe that was answered
	// was sent. A Probing with Limit 0 has no bound.
	Limit int
	// sinceAnswered and sinceSent are the numbers of requests since the last probe that was
	// answered, and since the one in progress, were sent.
	sinceAnswered, sinceSent int
	inProgress               bool
}

// Available reports whether another request may be sent.
func (p *Probing) Available() bool { return p.Limit == 0 || p.sinceAnswered < p.Limit }

// Count counts one request.
func (p *Probing) Count() {
	p.sinceAnswered++
	p.sinceSent++
}

// Due reports whether a probe should be sent. It is due when half of the limit is left, so that
// requests needn't wait for the answer.
func (p *Probing) Due() bool {
	return p.Limit > 0 && !p.inProgress && 2*p.sinceAnswered >= p.Limit
}

// Sent records that a probe was sent.
func (p *Probing) Sent() { p.inProgress, p.sinceSent = true, 0 }

// Answered records the answer that the upstream needs no warm-up.
func (p *Probing) Answered() { p.inProgress, p.sinceAnswered = false, p.sinceSent }

// Failed records that the probe in progress has no answer, or that the upstream is warming up.
func (p *Probing) Failed() { p.inProgress = false }
