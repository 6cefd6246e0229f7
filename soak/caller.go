package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
)

// caller sends requests one after another and reuses its connection until the router
// closes it.
type caller struct {
	number int
	rnd    *rand.Rand
	lb     *balancer
	op     *operator
	rec    *Recorder

	// continues is set if the caller continues broken streams.
	continues bool

	sent        int
	conn        net.Conn
	reader      *bufio.Reader
	router      *router
	incarnation int
}

const (
	// abandonPercent is the percentage of requests that the caller abandons early.
	abandonPercent = 4
	// oldKeyPercent is the percentage of requests of the team with changing keys that use
	// the previous key.
	oldKeyPercent = 25
	// maxThinkMs bounds the think time between two requests of a caller.
	maxThinkMs = 60
	// deadlineSlack is how long a caller continues to read after its request's deadline.
	deadlineSlack = time.Second
)

func (c *caller) run(done <-chan struct{}) {
	defer c.closeConn()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rnd.IntN(maxThinkMs)) * time.Millisecond):
		}
		c.sendNext()
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // the connection may be broken already
		c.conn = nil
	}
}

// connect opens a connection if there is none and reports whether there is one.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.router = c.lb.pick(c.rnd)
	c.incarnation = c.router.currentIncarnation()
	conn, err := net.DialTimeout("tcp", c.router.callers.Address(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// sendNext connects if necessary and sends the next request.
func (c *caller) sendNext() {
	if !c.connect() {
		return
	}
	c.continueBroken(c.send(c.nextRequest()))
}

// maxContinuations is how often a caller continues a broken stream.
const maxContinuations = 2

// continueBroken continues a broken stream on new connections, usually at other routers.
func (c *caller) continueBroken(broken Request) {
	first := broken
	for range maxContinuations {
		if !c.continues || broken.Kind != ResumableStream || broken.Complete || broken.Abandoned || broken.Events == 0 {
			return
		}
		c.closeConn()
		if !c.connect() {
			return
		}
		req := broken
		c.sent++
		req.ID, req.Continues, req.After = fmt.Sprintf("c%d-%d", c.number, c.sent), first.ID, broken.Events
		req.Router, req.Incarnation = c.router.number, c.incarnation
		req.Status, req.Version, req.Defect, req.LeavingNotice = 0, "", "", false
		if broken = c.send(req); broken.Events == 0 {
			broken.Events = req.After // it was refused and may be sent again
			time.Sleep(continuationPause)
		}
	}
}

// continuationPause is the pause after a refusal.
const continuationPause = 200 * time.Millisecond

// send sends a request on the open connection, records the result and returns it.
func (c *caller) send(req Request) Request {
	out, err := c.buildRequest(req)
	if err != nil {
		return req
	}
	deadline := time.Now().Add(req.Kind.timeout() + deadlineSlack)
	if c.rnd.IntN(100) < abandonPercent {
		req.Abandoned = true
		deadline = time.Now().Add(time.Duration(c.rnd.IntN(300)) * time.Millisecond)
	}
	_ = c.conn.SetDeadline(deadline) // a broken connection fails at the write
	reusable := false
	if err := out.Write(c.conn); err != nil {
		// The router may have read only part of the request, so no response is required.
		// The request must still not run twice.
		req.Abandoned, req.Sent = true, c.rec.Now()
	} else {
		req.Sent = c.rec.Now()
		reusable = c.read(&req, out)
	}
	req.Ended = c.rec.Now()
	if req.Complete {
		req.Abandoned = false
	}
	if !reusable || !req.Complete {
		c.closeConn()
	}
	c.rec.Add(func(h *History) { h.Requests = append(h.Requests, req) })
	return req
}

// nextRequest draws a request.
func (c *caller) nextRequest() Request {
	c.sent++
	kind := RequestKind(c.rnd.IntN(int(Added) + 1))
	key, oldKey, added := c.op.credentials()
	req := Request{
		ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Kind: kind, Prefix: prefixes[kind], Key: fixedKey,
		Router: c.router.number, Incarnation: c.incarnation,
	}
	if kind == ResumableStream {
		req.Parts = c.sharedParts() + "," + fmt.Sprintf("%x%x", c.number+1, c.sent)
	}
	if kind == Added {
		if len(added) == 0 {
			req.Kind, req.Prefix = Repeatable, prefixes[Repeatable]
		} else {
			req.Prefix = added[c.rnd.IntN(len(added))]
		}
	}
	if c.rnd.IntN(2) == 0 {
		req.Key = key
		if oldKey != "" && c.rnd.IntN(100) < oldKeyPercent {
			req.Key = oldKey
		}
	}
	return req
}

func (c *caller) buildRequest(req Request) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if req.Kind.atMostOnce() {
		method, body = http.MethodPost, strings.NewReader("order of "+req.ID)
	}
	out, err := http.NewRequest(method, "http://"+host+req.uri(), body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n := platform.HTTPHeaders()
	out.Header.Set(n.RequestID, req.ID)
	out.Header.Set(n.APIKey, req.Key)
	out.Header.Set(n.Deadline, fmt.Sprint(req.Kind.timeout().Milliseconds()))
	if req.Parts != "" {
		out.Header.Set(n.Parts, strings.ReplaceAll(req.Parts, ",", ":10,")+":10")
	}
	if req.Continues != "" {
		out.Header.Set(n.Resumes, req.Continues)
		out.Header.Set("Last-Event-Id", fmt.Sprint(req.After))
	}
	return out, nil
}

// read reads the response and validates it. It reports whether the connection can be
// reused.
func (c *caller) read(req *Request, out *http.Request) (reusable bool) {
	resp, err := http.ReadResponse(c.reader, out)
	if err != nil {
		if !isConnError(err) {
			req.Defect = "malformed response: " + err.Error()
		}
		return false
	}
	req.Status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	req.Complete = err == nil
	req.LeavingNotice = resp.Header.Get(platform.HTTPHeaders().Leaving) != ""
	req.Quarantined = strings.Contains(string(body), `"code":"quarantined"`)
	if found := quarantinedPart.FindStringSubmatch(string(body)); req.Quarantined && found != nil {
		req.QuarantinedPart = found[1]
	}
	if resp.StatusCode/100 == 2 {
		req.Defect = checkSuccess(req, resp.Header, string(body))
	}
	return !resp.Close
}

// quarantinedPart finds the part for which a request was rejected.
var quarantinedPart = regexp.MustCompile(`the part ([0-9a-f]+);`)

// isConnError reports whether an error is a closed or reset connection or a timeout.
func isConnError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// checkSuccess returns the defect of a success response, or "". The response must come
// from an upstream, belong to the request and be complete, unless its truncation is
// detectable.
func checkSuccess(req *Request, h http.Header, body string) string {
	n := platform.HTTPHeaders()
	switch {
	case h.Get(n.Seal) == "":
		return "success response without the upstream's seal"
	case h.Get(n.RequestID) != req.ID:
		return "response to request " + h.Get(n.RequestID)
	case req.Kind.streaming() && !strings.HasSuffix(body, " ran "+req.ID): // an upstream with a gray failure sends a plain response
		return checkStream(req, body)
	case req.Complete && !strings.HasSuffix(body, " ran "+req.ID):
		return fmt.Sprintf("unexpected body: %q", body)
	}
	return ""
}
