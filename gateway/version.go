package gateway

import (
	"context"
	"time"

	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/resumption"
)

// streamBegan records the software version that began a stream, before its first event leaves.
func (s *Server) streamBegan(r *request) {
	r.began, r.version = true, r.sentVersion
	s.placer.ReportStreamBegan(r.id, resumption.Origin{Service: r.service, Version: r.version})
}

// continuesStream reports whether the caller continues a stream that another attempt began.
func (s *Server) continuesStream(r *request) bool {
	h := r.in.Header
	return h.Get(lastEventID) != "" || h.Get(s.cfg.Headers.Resumes) != ""
}

// removalMargin is how long after the removal of its entry an upstream may still begin a stream: it serves
// on for seconds, and routers with an older state send it requests.
const removalMargin = 5 * time.Second

// findVersion finds the software version at which a stream continues that another attempt began.
func (s *Server) findVersion(ctx context.Context, r *request) *refusal {
	age := s.streamAges.longest(time.Since(s.start), r.route.Name)
	if age != resumption.UnknownAge {
		// The caller waits for this long from now on, and has waited before.
		age = max(age, r.statedDeadline) + removalMargin
	}
	d := s.placer.StreamVersion(ctx, r.service, r.record.resumes, age)
	r.record.versionSource = d.Source
	if d.Verdict != resumption.Continue {
		r.record.cause = d.Source
		s.stats.unknownVersion.Inc(1)
		return versionUnknown()
	}
	r.began, r.version = true, d.Version
	return nil
}

func versionUnknown() *refusal {
	return notRun("version_unknown", "it isn't known which software version began the stream; the request was not run; it may be sent again, or from the start, without the last event's ID", versionRetryAfter)
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
		return versionUnknown()
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
