package gateway

import (
	"io"
	"net/http"
	"time"
)

// maxDiscardTime limits the time for which the rest of a refused request's body is discarded.
const maxDiscardTime = 5 * time.Second

// discardBody sends the response that was written and discards the rest of the body. A connection that is
// closed with unread bytes is reset, and a caller that reads the response only after it has sent its body
// would see the reset instead. The request isn't pending meanwhile: it holds no body.
func (s *Server) discardBody(w http.ResponseWriter, in *http.Request) {
	s.activeRequests.Add(-1)
	defer s.activeRequests.Add(1)
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, in.Body, maxDiscard) // the response has been sent, whatever happens
}
