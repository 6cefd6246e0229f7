package dispatch

import "time"

// otherRequests estimates how many requests an upstream has besides those that this core has sent: those
// of routers that decide alone, and those that a router has given up and the upstream still runs.
//
// A stated load is from before the sends that reached the upstream since, and from before the ends that were
// reported since. It therefore only counts as far as it exceeds all that this core has had there meanwhile.
type otherRequests struct {
	count      int
	observedAt time.Duration
	// ownPeak is the largest number of this core's requests in the span since peakSince, and previousPeak that in the
	// span before, which was as long.
	ownPeak, previousPeak int
	peakSince             time.Duration
	// knownSince is since when the own requests are recorded.
	knownSince time.Duration
}

const (
	// maxCountAge is the age up to which stated numbers of requests are used.
	maxCountAge = 250 * time.Millisecond
	// otherRequestsTTL is how long an estimate counts if the upstream states no other. It gets requests
	// again then, and states its load with the first answer.
	otherRequestsTTL = 500 * time.Millisecond
)

// observeOwn records the number of this core's requests before and after each change.
func (o *otherRequests) observeOwn(now time.Duration, own int) {
	switch elapsed := now - o.peakSince; {
	case elapsed >= 2*maxCountAge:
		o.previousPeak, o.ownPeak, o.peakSince = own, own, now
	case elapsed >= maxCountAge:
		o.previousPeak, o.ownPeak, o.peakSince = o.ownPeak, own, now
	}
	o.ownPeak = max(o.ownPeak, own)
}

// observe records a stated load. The upstream counts as having room for at least one request, so that its answer
// shows whether it has.
func (o *otherRequests) observe(now time.Duration, r LoadReport, own, slots int) {
	o.observeOwn(now, own)
	if r.Age > maxCountAge || now-o.knownSince < maxCountAge {
		return
	}
	own = max(o.ownPeak, o.previousPeak)
	most := own + max(slots-1, 0)
	stated := min(r.Running, most) + min(r.Waiting, most)
	o.count = min(max(stated, own), most) - own
	o.observedAt = now
}

// adopt records that one of the requests turned out to be known to this core.
func (o *otherRequests) adopt() { o.count = max(o.count-1, 0) }

func (o *otherRequests) expire(now time.Duration) {
	if now-o.observedAt > otherRequestsTTL {
		o.count = 0
	}
}
