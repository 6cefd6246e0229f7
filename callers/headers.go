package callers

import (
	"net/http"

	"github.com/aspenswitch/aspenswitch/headers"
)

// forwardHeader is what an upstream gets of a caller's header. The bearer key
// stays here: upstreams must not see the teams' keys.
func forwardHeader(in http.Header) http.Header {
	out := in.Clone()
	headers.RemoveHopByHop(out)
	out.Del("Authorization")
	out.Del("Content-Length")
	out.Del("Accept-Encoding")
	return out
}

// copyHeader passes an upstream's header on to the caller. The request id stays
// the router's.
func copyHeader(to, from http.Header) {
	clean := from.Clone()
	headers.RemoveHopByHop(clean)
	clean.Del(headerRequest)
	clean.Del("Content-Length")
	for name, values := range clean {
		to[name] = values
	}
}
