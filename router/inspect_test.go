package router

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a data race at the stop of a router: the caller of inspect uses what the read, which
// is still running on the control goroutine, is writing.
func TestInspectReturnsAfterItsReadWhenTheRouterStops(t *testing.T) {
	g := NewWithT(t)
	r := &Router{messages: make(chan message, 1), stopped: make(chan struct{})}
	reading, finish := make(chan struct{}), make(chan struct{})
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		r.inspect(func(*controller) {
			close(reading)
			<-finish
		})
	}()
	go func() { (<-r.messages).apply(nil, time.Now()) }()
	g.Eventually(reading).Should(BeClosed())
	close(r.stopped)
	g.Consistently(returned, "100ms").ShouldNot(BeClosed())
	close(finish)
	g.Eventually(returned).Should(BeClosed())
}

// Guards against the same race for a read that the control goroutine takes from its queue after the
// caller of inspect has returned.
func TestReadsAreNotStartedAfterInspectReturned(t *testing.T) {
	g := NewWithT(t)
	r := &Router{messages: make(chan message, 1), stopped: make(chan struct{})}
	returned := make(chan struct{})
	started := false
	go func() {
		defer close(returned)
		r.inspect(func(*controller) { started = true })
	}()
	g.Eventually(r.messages).Should(HaveLen(1))
	close(r.stopped)
	g.Eventually(returned).Should(BeClosed())
	(<-r.messages).apply(nil, time.Now())
	g.Expect(started).To(BeFalse())
}
