package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/standin"
	"github.com/aspenswitch/aspenswitch/upstream"
)

// fakeUpstream accepts connections and runs a script on each.
type fakeUpstream struct {
	listener net.Listener
	conns    chan net.Conn
}

// serve starts an upstream that runs script on each accepted connection.
func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader)) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := &fakeUpstream{listener: l, conns: make(chan net.Conn, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func (s *fakeUpstream) request(id string, body string) *upstream.Request {
	return &upstream.Request{
		Address: s.listener.Addr().String(), Method: http.MethodPost, URI: "/p//a%2fb?x=1", Host: "h.example",
		Header: http.Header{"Id": {id}}, Body: []byte(body), IDHeader: "Id", ID: id, Repeatable: true,
	}
}

func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return strings.TrimLeft(string([]byte{byte('0' + n/100), byte('0' + n/10%10), byte('0' + n%10)}), "0")
}

func newPool(t *testing.T) *upstream.Pool {
	p := upstream.NewPool(upstream.DefaultPoolConfig())
	t.Cleanup(p.Close)
	return p
}

func TestRequestIsSentUnchanged(t *testing.T) {
	g := NewWithT(t)
	uris := make(chan string, 1)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, body, err := readRequest(r)
		if err != nil {
			return
		}
		uris <- req.RequestURI + " " + req.Host + " " + body
		_, _ = io.WriteString(c, response("1", "ok"))
	})
	resp, err := newPool(t).Do(context.Background(), s.request("1", "hello"))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	g.Expect(io.ReadAll(resp)).To(Equal([]byte("ok")))
	g.Expect(<-uris).To(Equal("/p//a%2fb?x=1 h.example hello"))
}

// A caller would receive another caller's response: the upstream sends a second
// response after the first, and it arrives when the connection is already reused. The
// response must be matched to the request by its ID.
func TestExtraAnswerIsNotTakenForTheNextOne(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for _, id := range []string{"1", "2"} {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			if id == "2" {
				_, _ = io.WriteString(c, response("1", "first"))
			}
			_, _ = io.WriteString(c, response(id, "right"+id))
		}
	})
	p := newPool(t)
	for _, id := range []string{"1", "2"} {
		resp, err := p.Do(context.Background(), s.request(id, ""))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(resp)).To(Equal([]byte("right" + id)))
		resp.Close()
	}
	g.Expect(s.conns).To(HaveLen(1), "the connection was reused")
}

// A connection that has already received an extra response must not be reused.
func TestConnectionWithUnreadBytesIsNotUsedAgain(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, _, err := readRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		_, _ = io.WriteString(c, response(id, "right")+response(id, "again"))
		_, _ = io.Copy(io.Discard, r)
	})
	p := newPool(t)
	for _, id := range []string{"1", "2"} {
		resp, err := p.Do(context.Background(), s.request(id, ""))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(resp)).To(Equal([]byte("right")))
		resp.Close()
	}
	g.Expect(s.conns).To(HaveLen(2))
}

// The upstream reads the request and closes the connection. The request must not be
// reported as not executed.
func TestBrokenConnectionAfterSendingCountsAsSent(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
	_, err := newPool(t).Do(context.Background(), s.request("1", "x"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(upstream.NotSent(err)).To(BeFalse())
}

func TestRefusedConnectionCountsAsNotSent(t *testing.T) {
	g := NewWithT(t)
	address, release, err := standin.RefusedAddress()
	g.Expect(err).NotTo(HaveOccurred())
	defer release()
	_, err = newPool(t).Do(context.Background(), &upstream.Request{Address: address, Method: http.MethodGet, URI: "/", Host: "h"})
	g.Expect(upstream.NotSent(err)).To(BeTrue())
}

// The upstream sends less than its Content-Length. A truncated response must not count
// as complete.
func TestAnswerThatIsCutIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
	})
	resp, err := newPool(t).Do(context.Background(), s.request("1", ""))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	_, err = io.ReadAll(resp)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(resp.Complete()).To(BeFalse())
}

// A response without a length is complete if the connection is closed, and incomplete
// if it is reset.
func TestUnframedAnswerThatIsResetIsNotWhole(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := make(chan struct{})
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				<-got
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			resp, err := newPool(t).Do(context.Background(), s.request("1", ""))
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Close()
			part := make([]byte, 4)
			_, err = io.ReadFull(resp, part)
			g.Expect(err).NotTo(HaveOccurred())
			close(got)
			_, err = io.ReadAll(resp)
			g.Expect(err != nil).To(Equal(reset))
			g.Expect(resp.Complete()).To(Equal(!reset))
		})
	}
}

// The upstream rejects a long request before it has read its body and continues to read.
// The bytes of another request on this connection would be read as part of the body, so
// the connection must not be reused.
func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response(req.Header.Get("Id"), "no"))
		<-hold
	})
	p := newPool(t)
	long := strings.Repeat("x", 8<<20)
	for _, id := range []string{"1", "2"} {
		resp, err := p.Do(context.Background(), s.request(id, long))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(resp)).To(Equal([]byte("no")))
		resp.Close()
	}
	g.Expect(s.conns).To(HaveLen(2))
}

// A request that must not be repeated would be lost on a connection that the upstream
// has dropped without notice, so it must use a new or recently used connection.
func TestUnrepeatableCallsUseFreshConnections(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(req.Header.Get("Id"), "ok"))
		}
	})
	cfg := upstream.DefaultPoolConfig()
	cfg.MaxIdleNonRepeatable = 0
	p := upstream.NewPool(cfg)
	t.Cleanup(p.Close)
	for _, id := range []string{"1", "2"} {
		call := s.request(id, "")
		call.Repeatable = false
		resp, err := p.Do(context.Background(), call)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Close()
	}
	g.Expect(p.Dials()).To(Equal(int64(2)))
}

// An upstream loses power and restarts with the same name and address. Nothing has
// closed the old connection; a request sent on it would be lost, and it would be unknown
// whether it was executed. The next request must open a new connection.
func TestConnectionToAnEarlierStartIsNotUsedAgain(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(req.Header.Get("Id"), "ok"))
		}
	})
	p := newPool(t)
	for i, started := range []int64{1000, 1000, 2000} {
		call := s.request(itoa(i), "")
		call.Started = started
		resp, err := p.Do(context.Background(), call)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Close()
	}
	g.Expect(p.Dials()).To(Equal(int64(2)))
}

// The upstream would continue to process an abandoned request: when the caller
// disconnects, the upstream connection must be closed, also before the response arrives.
func TestCancelledCallClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := serve(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.conns
		cancel()
	}()
	_, err := newPool(t).Do(ctx, s.request("1", ""))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(closed, 5*time.Second).Should(BeClosed())
}

// Arbitrary data from an upstream must not cause a crash, and a complete body must have
// the announced length.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(response("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nId: 1\r\n\r\n"))
	f.Add([]byte("\x00\xffgarbage\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = c.Write(raw)
		})
		resp, err := newPool(t).Do(context.Background(), s.request("1", ""))
		if err != nil {
			return
		}
		defer resp.Close()
		if resp.Header.Get("Id") != "1" {
			t.Fatal("a response to another request was returned")
		}
		body, err := io.ReadAll(resp)
		if err == nil && resp.BodyLength >= 0 && int64(len(body)) != resp.BodyLength {
			t.Fatalf("body of %d bytes counts as complete, want %d bytes", len(body), resp.BodyLength)
		}
	})
}
