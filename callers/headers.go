package callers

import (
	"net/http"
	"strings"
)

// hopByHop headers concern one connection and are not passed on (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardHeader is what an upstream gets of a caller's header. The bearer key
// stays here: upstreams must not see the teams' keys.
func forwardHeader(in http.Header) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	out.Del("Authorization")
	out.Del("Content-Length")
	out.Del("Accept-Encoding")
	return out
}

func removeHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// copyHeader passes an upstream's header on to the caller. The request id stays
// the router's.
func copyHeader(to, from http.Header) {
	clean := from.Clone()
	removeHopByHop(clean)
	clean.Del(headerRequest)
	clean.Del("Content-Length")
	for name, values := range clean {
		to[name] = values
	}
}
