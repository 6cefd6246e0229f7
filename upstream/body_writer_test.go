package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pausedContext delays an exchange, which registers with the context of its request between
// connecting and sending, until resume is closed.
type pausedContext struct {
	context.Context
	connected <-chan net.Conn
	resume    <-chan struct{}
}

func (c *pausedContext) Value(key any) any {
	select {
	case <-c.connected:
		<-c.resume
	default:
	}
	return c.Context.Value(key)
}

// answerEarly starts an upstream that sends response as soon as a connection is open. Once readOn is
// closed, it reads what it was sent.
func answerEarly(t *testing.T, response string, readOn <-chan struct{}) (s *fakeUpstream, answered chan struct{}, received chan string) {
	answered, received = make(chan struct{}), make(chan string, 1)
	s = serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, response)
		close(answered)
		<-readOn
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			received <- err.Error()
			return
		}
		body, _ := io.ReadAll(req.Body)
		received <- string(body)
	})
	return s, answered, received
}

// Guards against a body of which nothing was sent, and whose connection is used for another request,
// because its owner took it back as soon as the response had come.
func TestBodyThatIsTakenBackAfterAnEarlyResponse(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	g := NewWithT(t)
	readOn := make(chan struct{})
	s, answered, received := answerEarly(t, response("1", "no"), readOn)
	request := s.request("1", strings.Repeat("x", 20<<10))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	p := newPool(t)
	resp, err := p.Do(&pausedContext{Context: ctx, connected: s.conns, resume: answered}, request)
	g.Expect(err).NotTo(HaveOccurred())
	request.Body = nil
	runtime.Gosched()
	g.Expect(io.ReadAll(resp)).To(Equal([]byte("no")))
	time.Sleep(20 * time.Millisecond)
	resp.Close()
	reused := p.Idle() > 0
	close(readOn)
	body := <-received
	g.Expect(body == strings.Repeat("x", 20<<10) || !reused).To(BeTrue(), "%d bytes of the body came, and the connection is reused: %t", len(body), reused)
}

// Guards against a part of a response that counts as complete because the reset of its connection was
// reported to the goroutine that writes the request.
func TestUnframedResponseThatIsResetDuringTheUpload(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		end      func(c *net.TCPConn, r *bufio.Reader)
		complete bool
	}{
		"reset":                   {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0); _ = c.Close() }, false},
		"reset after an interim":  {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0); _ = c.Close() }, false},
		"reset, old version":      {"HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0); _ = c.Close() }, false},
		"closed with unread data": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.Close() }, false},
		"half closed, then reset": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, _ *bufio.Reader) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_ = c.Close()
		}, false},
		"half closed, and read on": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, r *bufio.Reader) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r)
		}, true},
		"read to the end": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", func(c *net.TCPConn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_ = c.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := make(chan struct{})
			s := serve(t, func(conn net.Conn, r *bufio.Reader) {
				_, _ = io.WriteString(conn, c.head+"part")
				<-got
				c.end(conn.(*net.TCPConn), r)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			resp, err := newPool(t).Do(ctx, s.request("1", strings.Repeat("x", 8<<20)))
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Close()
			_, err = io.ReadFull(resp, make([]byte, 4))
			g.Expect(err).NotTo(HaveOccurred())
			close(got)
			time.Sleep(50 * time.Millisecond) // the write has failed
			_, err = io.ReadAll(resp)
			g.Expect(err == nil).To(Equal(c.complete), "%v", err)
			g.Expect(resp.Complete()).To(Equal(c.complete))
		})
	}
}
