package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/standin"
)

// caller sends one request after the other and keeps its connection for as long as
// the router does.
type caller struct {
	number int
	rnd    *rand.Rand
	lb     *balancer
	op     *operator
	rec    *Recorder

	sent        int
	conn        net.Conn
	in          *bufio.Reader
	to          *router
	incarnation int
}

const (
	// leaveShare is how many callers in a hundred leave before their answer.
	leaveShare = 4
	// oldKeyShare is how many requests in a hundred of the changing team come with
	// the key before the last change.
	oldKeyShare = 25
	// thinkMs is the longest pause between two requests of a caller.
	thinkMs = 60
	// patience is how much longer than its deadline a caller listens.
	patience = time.Second
)

func (c *caller) run(end <-chan struct{}) {
	defer c.hangUp()
	for {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(c.rnd.IntN(thinkMs)) * time.Millisecond):
		}
		c.call()
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close() // it may be broken already
		c.conn = nil
	}
}

// connect opens a connection if there is none.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.to = c.lb.pick(c.rnd)
	c.incarnation = c.to.current()
	conn, err := net.DialTimeout("tcp", c.to.callers.Address(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// call connects if necessary and sends the next request.
func (c *caller) call() {
	if !c.connect() {
		return
	}
	c.send(c.next())
}

// send sends a request on the open connection and records the result.
func (c *caller) send(req Request) {
	out, err := c.build(req)
	if err != nil {
		return
	}
	deadline := time.Now().Add(req.Kind.timeout() + patience)
	if c.rnd.IntN(100) < leaveShare {
		req.Abandoned = true
		deadline = time.Now().Add(time.Duration(c.rnd.IntN(300)) * time.Millisecond)
	}
	_ = c.conn.SetDeadline(deadline) // a broken connection shows at the write
	keep := false
	if err := out.Write(c.conn); err != nil {
		// What was read of it isn't known, so no answer is owed. It must not run
		// twice all the same.
		req.Abandoned, req.Sent = true, c.rec.Now()
	} else {
		req.Sent = c.rec.Now()
		keep = c.read(&req, out)
	}
	req.Ended = c.rec.Now()
	if req.Complete {
		req.Abandoned = false
	}
	if !keep || !req.Complete {
		c.hangUp()
	}
	c.rec.Add(func(h *History) { h.Requests = append(h.Requests, req) })
}

// next draws a request.
func (c *caller) next() Request {
	c.sent++
	kind := RequestKind(c.rnd.IntN(int(Added) + 1))
	key, old, added := c.op.known()
	req := Request{
		ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Kind: kind, Prefix: prefixes[kind], Key: fixedKey,
		Router: c.to.number, Incarnation: c.incarnation,
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
		if old != "" && c.rnd.IntN(100) < oldKeyShare {
			req.Key = old
		}
	}
	return req
}

func (c *caller) build(req Request) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if req.Kind.once() {
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
	return out, nil
}

// read reads the answer and judges it. It reports whether the connection can
// carry another request.
func (c *caller) read(req *Request, out *http.Request) (keep bool) {
	resp, err := http.ReadResponse(c.in, out)
	if err != nil {
		if !brokenOff(err) {
			req.Defect = "bytes that are no answer: " + err.Error()
		}
		return false
	}
	req.Status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	req.Complete = err == nil
	req.LeavingNotice = resp.Header.Get(platform.HTTPHeaders().Leaving) != ""
	req.Quarantined = strings.Contains(string(body), `"code":"quarantined"`)
	if resp.StatusCode/100 == 2 {
		req.Defect = judge(req, resp.Header, string(body))
	}
	return !resp.Close
}

// brokenOff reports whether a connection ended, was reset, or fell silent.
func brokenOff(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// judge says what is wrong with a success: it must be an upstream's, this
// request's, and all of it, unless it shows that it was cut.
func judge(req *Request, h http.Header, body string) string {
	n := platform.HTTPHeaders()
	switch {
	case h.Get(n.Seal) == "":
		return "a success without the upstream's seal"
	case h.Get(n.RequestID) != req.ID:
		return "the answer to " + h.Get(n.RequestID)
	case req.Kind.streams() && !strings.HasSuffix(body, " ran "+req.ID): // a grey upstream gives a plain answer
		return judgeStream(req, body)
	case req.Complete && !strings.HasSuffix(body, " ran "+req.ID):
		return fmt.Sprintf("another body: %q", body)
	}
	return ""
}

func judgeStream(req *Request, body string) string {
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		want.WriteString(standin.StreamEvent(req.ID, i))
	}
	switch {
	case req.Complete && body != want.String():
		return fmt.Sprintf("a stream of %d bytes that looks complete", len(body))
	case !strings.HasPrefix(want.String(), body):
		return "a stream with events missing, doubled or of another"
	}
	return ""
}
