package gateway

import (
	"errors"
	"time"

	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// reportMalformed counts and logs a response that is malformed or exceeds a limit. It returns false
// if err has another cause. Such a response is no sign of a crash: the upstream still runs, and the
// content of the request isn't suspected.
func (s *Server) reportMalformed(r *request, err error) bool {
	var malformed *upstream.MalformedResponseError
	if !errors.As(err, &malformed) {
		return false
	}
	s.stats.malformed[malformed.Reason].Inc(1)
	s.log.Warn("upstream_malformed", func(e *obs.Event) {
		e.Str("request", r.id).Str("route", r.record.route).Str("upstream", r.sentTo.ID).Int64("started", r.sentTo.Started).
			Str("reason", string(malformed.Reason)).Int64("bytes", malformed.Bytes).Int64("ran_ms", time.Since(r.sentAt).Milliseconds()).
			Err(err).Msg("closed the connection of an upstream that sent a malformed response")
	})
	return true
}
