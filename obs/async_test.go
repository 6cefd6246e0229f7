package obs_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/obs"
)

// blockedPipe is a writer that blocks until it is released.
type blockedPipe struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedPipe) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// A pipe that nobody reads would block the requests that log. Lines must be kept up to
// a limit, then dropped and counted; no write may block.
func TestStuckPipeBlocksNobody(t *testing.T) {
	g := NewWithT(t)
	out := &blockedPipe{release: make(chan struct{})}
	a := obs.NewAsyncWriter(out)
	line := bytes.Repeat([]byte("x"), 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10000 {
			_, _ = a.Write(line)
		}
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	g.Expect(a.Dropped()).To(BeNumerically(">", 9000))
	close(out.release)
	g.Expect(a.Close()).To(Succeed())
	_, err := a.Write(line)
	g.Expect(err).NotTo(HaveOccurred(), "a line after Close is lost without an error")
}

// Each kind has its own budget: under load a flood of success lines must not displace
// the lines that explain failures. The number of omitted lines is logged.
func TestKindsHaveBudgetsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := obs.NewLimitedLogger(obs.NewLog(&out, "info", "r1"), 5)
	for range 1000 {
		l.Info("served", func(e *obs.Event) { e.Msg("request") })
	}
	l.Warn("failed", func(e *obs.Event) { e.Msg("request") })
	kinds := map[string]int{}
	for _, raw := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var fields map[string]any
		g.Expect(json.Unmarshal(raw, &fields)).To(Succeed())
		kinds[fields["event"].(string)]++
	}
	g.Expect(kinds["served"]).To(BeNumerically(">=", 5))
	g.Expect(kinds["served"]).To(BeNumerically("<=", 10), "at most two seconds' worth")
	g.Expect(kinds["failed"]).To(Equal(1))
}
