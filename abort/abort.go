// Package abort ends responses that can't be completed.
package abort

import (
	"net"
	"net/http"
)

// Response ends the response to a request so that its caller recognizes it as incomplete. It
// must be the last call of a handler, and may panic.
//
// A chunked response lacks its last chunk if its connection is closed. A caller of HTTP/1.0 gets
// no chunks, and takes a closed connection for the end of a body without a length; only a reset
// differs.
func Response(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = conn.Close()
}
