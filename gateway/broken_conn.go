package gateway

import (
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// ensureContentKey returns the request's content key. The first call must come before the
// body is released.
func (r *request) ensureContentKey() quarantine.Key {
	if !r.hasContentKey {
		r.hasContentKey = true
		r.contentKey = quarantine.NewContentKey(r.teamName(), r.in.Method, r.in.Host, r.in.RequestURI, r.body.bytes)
	}
	return r.contentKey
}

// reportBrokenConn reports and logs that an upstream closed or reset the connection while
// it was handling the request. A crash breaks every request on the upstream; the content key
// shows which of them breaks on each upstream that it is sent to.
func (s *Server) reportBrokenConn(r *request, err error) {
	if s.reportMalformed(r, err) || !closedByUpstream(err) {
		return
	}
	contentKey := r.ensureContentKey()
	r.crashes++
	r.trialResult = true
	s.placer.ReportCrash(r.interruption(), r.sentTo, time.Since(r.sentAt))
	r.record.content = contentKey.String()
	s.log.Warn("upstream_broke", func(e *obs.Event) {
		e.Str("request", r.id).Str("route", r.record.route).Str("team", contentKey.Team).Stringer("content", contentKey).
			Str("upstream", r.sentTo.ID).Int64("started", r.sentTo.Started).
			Int64("ran_ms", time.Since(r.sentAt).Milliseconds()).Int64("events", r.events).Bool("answer_started", r.answerStarted).Str("parts", r.partIDs()).Err(err).
			Msg("upstream closed the connection while handling a request")
	})
}

// closedByUpstream reports whether err means that the upstream closed or reset the
// connection. Timeouts are excluded, since a network failure causes them as well.
func closedByUpstream(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// partIDs returns the IDs of the prompt's parts in hexadecimal, as callers write them.
func (r *request) partIDs() string {
	var ids []byte
	for i, part := range r.parts {
		if i > 0 {
			ids = append(ids, ',')
		}
		ids = strconv.AppendUint(ids, part.ID, 16)
	}
	return string(ids)
}
