package callers

import (
	"net/http"

	"github.com/aspenswitch/aspenswitch/headers"
)

// upstreamHeader returns the part of a caller's header that is sent to an upstream.
// It omits the bearer key, because upstreams must not see the teams' keys.
func upstreamHeader(in http.Header) http.Header {
	out := in.Clone()
	headers.RemoveHopByHop(out)
	out.Del("Authorization")
	out.Del("Content-Length")
	out.Del("Accept-Encoding")
	return out
}

// copyResponseHeader copies an upstream's response header to the caller's. The
// request ID remains the router's.
func copyResponseHeader(to, from http.Header) {
	clean := from.Clone()
	headers.RemoveHopByHop(clean)
	clean.Del(headerRequestID)
	clean.Del("Content-Length")
	for name, values := range clean {
		to[name] = values
	}
}
