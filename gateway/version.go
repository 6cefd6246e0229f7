package gateway

import (
	"time"

	"github.com/aspenswitch/aspenswitch/registry"
)

// streamBegan records the software version that began a stream, before its first event leaves.
func (s *Server) streamBegan(r *request) {
	r.began, r.version = true, r.sentVersion
}

// versionRetryAfter is the Retry-After delay for a broken stream that can't go on at present.
// An upstream that has crashed is back within seconds, with the version that it had.
const versionRetryAfter = time.Second

// refuseUnservableVersion refuses a broken stream at once if no upstream can continue it.
func (s *Server) refuseUnservableVersion(r *request) *refusal {
	switch {
	case !r.began:
		return nil
	case r.version == "":
		r.record.cause = "the version of upstream " + r.record.upstream + ", which began the stream, is unknown"
		return notRun("version_unknown", "it isn't known which software version began the stream; the request was not run", versionRetryAfter)
	case s.state.Snapshot().View.ReadyAt(r.service, r.version) == 0:
		r.record.cause = "no upstream has version " + r.version + ", which began the stream"
		return notRun("version_gone", "no upstream has the software version that began the stream; the request was not run", versionRetryAfter)
	}
	return nil
}

// refuseOtherVersion checks, at the moment of sending, that an upstream has the software version
// that began the stream. The home that chose it may have an older or a newer state than this router.
func (s *Server) refuseOtherVersion(r *request, u *registry.Upstream) *refusal {
	if !r.began || r.version != "" && u.Version == r.version {
		return nil
	}
	s.stats.withheld[withheldVersion].Inc(1)
	r.tried = append(r.tried, u.ID)
	r.record.cause = "upstream " + u.ID + " has version " + u.Version + ", the stream began at " + r.version
	return notRun("upstream_version", "the upstream has another software version than the one that began the stream; the request was not run", defaultRetryAfter)
}
