package fleet

import (
	"context"
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/resumption"
)

// streamState is what this router has recorded about the software versions that began streams. It is owned
// by the control goroutine.
type streamState struct {
	// origins has the streams that this router serves, and those that it has recorded for others.
	origins *resumption.Table
	history *resumption.History
	pending map[*pendingContinuation]struct{}
}

// pendingContinuation is a request of this router that continues a stream, while the version at
// which it may go on is being found.
type pendingContinuation struct {
	query   *resumption.Query
	window  time.Duration
	retryAt boottime.Time
	answer  chan resumption.Decision
}

// Events of the control goroutine.
type (
	streamBeganEvent struct {
		id     resumption.StreamID
		origin resumption.Origin
		// sent is closed once it has been sent to other routers.
		sent chan struct{}
	}
	streamVersionEvent struct {
		id      resumption.StreamID
		service string
		window  time.Duration
		answer  chan resumption.Decision
	}
)

const (
	// maxTellDelay is how long an event waits until this router has sent to others which version began
	// its stream. That takes microseconds unless the router is overloaded.
	maxTellDelay = 20 * time.Millisecond
	// queryRetryInterval is the time after which an unanswered query is sent again.
	queryRetryInterval = 60 * time.Millisecond
	// maxPendingContinuations limits the continuations for which others are asked at the same time,
	// so that a caller that names made-up attempts costs a bounded number of datagrams.
	maxPendingContinuations = 256
)

func newStreamState() streamState {
	return streamState{origins: resumption.NewTable(), history: resumption.NewHistory(), pending: map[*pendingContinuation]struct{}{}}
}

// ReportStreamBegan implements gateway.Placer. It returns once it has been sent to the routers that
// record the stream, or after maxTellDelay.
func (n *Node) ReportStreamBegan(attempt string, origin resumption.Origin) {
	e := streamBeganEvent{id: resumption.NewStreamID(attempt), origin: origin, sent: make(chan struct{})}
	n.post(e)
	timer := time.NewTimer(maxTellDelay)
	defer timer.Stop()
	select {
	case <-e.sent:
	case <-timer.C:
	case <-n.done:
	}
}

// StreamVersion implements gateway.Placer.
func (n *Node) StreamVersion(ctx context.Context, service, attempt string, window time.Duration) resumption.Decision {
	e := streamVersionEvent{service: service, window: window, answer: make(chan resumption.Decision, 1)}
	if attempt != "" {
		e.id = resumption.NewStreamID(attempt)
	}
	n.post(e)
	select {
	case d := <-e.answer:
		return d
	case <-n.done:
		return resumption.Decision{Verdict: resumption.Refuse, Source: "this router is stopping"}
	case <-ctx.Done():
		return resumption.Decision{Verdict: resumption.Refuse, Source: ctx.Err().Error()}
	}
}

// recordStream records a stream that this router serves, and sends the record to its holders.
func (n *Node) recordStream(now boottime.Time, e streamBeganEvent) {
	defer close(e.sent)
	n.streams.origins.Record(time.Duration(now), e.id, e.origin)
	for _, id := range n.streamHolders(now, e.id, resumption.Copies) {
		if m := n.members[id]; m != nil {
			n.send(m.addr, &packet{Stream: &streamMessage{Kind: streamBegan, Stream: uint64(e.id), Service: e.origin.Service, SoftwareVersion: e.origin.Version}})
		}
	}
}

// streamHolders returns the routers that record a stream, by preference. This router may be one
// of them.
func (n *Node) streamHolders(now boottime.Time, id resumption.StreamID, count int) []uint64 {
	candidates := make([]resumption.Candidate, 0, len(n.members)+1)
	candidates = append(candidates, resumption.Candidate{ID: n.self, Domain: n.cfg.Domain})
	for _, m := range n.members {
		if n.usable(now, m) {
			candidates = append(candidates, resumption.Candidate{ID: m.id, Domain: m.domain})
		}
	}
	return resumption.Holders(id, candidates, count)
}

// findStreamVersion starts to find the version at which a stream may go on.
func (n *Node) findStreamVersion(now boottime.Time, e streamVersionEvent) {
	p := &pendingContinuation{window: e.window, answer: e.answer}
	if len(n.streams.pending) >= maxPendingContinuations {
		e.answer <- resumption.Decision{Verdict: resumption.Refuse, Source: "too many continuations are being looked up"}
		return
	}
	origin, known := n.streams.origins.Lookup(e.id)
	var asked []uint64
	if e.id != 0 && !known {
		for _, id := range n.streamHolders(now, e.id, resumption.Asked) {
			if id != n.self {
				asked = append(asked, id)
			}
		}
	}
	p.query = resumption.NewQuery(time.Duration(now), e.id, e.service, asked, n.cfg.MaxLeaderStateAge)
	if known && e.id != 0 {
		p.query.Known(origin, "this router")
	}
	n.streams.pending[p] = struct{}{}
	n.sendQueries(now, p)
	n.decideContinuation(now, p)
}

func (n *Node) sendQueries(now boottime.Time, p *pendingContinuation) {
	p.retryAt = now.Add(queryRetryInterval)
	for id, m := range n.members {
		if p.query.Unanswered(id) {
			n.send(m.addr, &packet{Stream: &streamMessage{Kind: streamQuery, Stream: uint64(p.query.ID)}})
		}
	}
}

// decideContinuation passes the decision to the request if there is one.
func (n *Node) decideContinuation(now boottime.Time, p *pendingContinuation) {
	at := time.Duration(now)
	sole, evidence := n.streams.history.SoleVersion(at, p.query.Service, p.query.AskedAt, p.window)
	d := p.query.Decide(at, sole, evidence)
	if d.Verdict == resumption.Wait {
		return
	}
	delete(n.streams.pending, p)
	p.answer <- d
}

// handleStreamMessage handles a record, a query or an answer of a peer.
func (n *Node) handleStreamMessage(now boottime.Time, from uint64, msg *streamMessage) {
	m := n.members[from]
	if m == nil {
		return
	}
	id := resumption.StreamID(msg.Stream)
	origin := resumption.Origin{Service: msg.Service, Version: msg.SoftwareVersion}
	switch msg.Kind {
	case streamBegan:
		n.streams.origins.Record(time.Duration(now), id, origin)
	case streamQuery:
		reply := &streamMessage{Kind: streamNotKnown, Stream: msg.Stream}
		if known, found := n.streams.origins.Lookup(id); found {
			reply.Kind, reply.Service, reply.SoftwareVersion = streamKnown, known.Service, known.Version
		}
		n.send(m.addr, &packet{Stream: reply})
	case streamKnown, streamNotKnown:
		n.handleStreamAnswer(now, from, id, origin, msg.Kind == streamKnown)
	}
}

func (n *Node) handleStreamAnswer(now boottime.Time, from uint64, id resumption.StreamID, origin resumption.Origin, known bool) {
	for p := range n.streams.pending {
		if p.query.ID != id || !p.query.Unanswered(from) {
			continue
		}
		p.query.NotKnown(from)
		if known {
			p.query.Known(origin, "router "+strconv.FormatUint(from, 10))
			n.streams.origins.Record(time.Duration(now), id, origin)
		}
		n.decideContinuation(now, p)
	}
}

// updateVersions records the software versions of a state.
func (n *Node) updateVersions(now boottime.Time, s *feed.Snapshot) {
	versions := resumption.Versions{}
	for i := range s.Table.Config.Services {
		service := s.Table.Config.Services[i].Name
		for version := range s.View.Versions(service) {
			versions[service] = append(versions[service], version)
		}
	}
	n.streams.history.Update(time.Duration(now), versions)
}

// tickStreams sends unanswered queries again and decides on those that have waited long enough.
func (n *Node) tickStreams(now boottime.Time) {
	if n.feed != nil && n.appliedSnapshot != nil && n.feed.Snapshot() == n.appliedSnapshot {
		n.streams.history.Confirm(time.Duration(n.feed.ConfirmedAt()))
	}
	for p := range n.streams.pending {
		if now >= p.retryAt {
			n.sendQueries(now, p)
		}
		n.decideContinuation(now, p)
	}
}
