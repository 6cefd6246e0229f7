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
