package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// placeLong requests the placement of a prompt that occupies an engine for most of a second.
func placeLong(m *member, session uint64) (dispatch.Decision, time.Duration) {
	r := dispatch.Request{
		Ticket: m.node.NewTicket(), Team: "a", Prompt: 30000, Output: 10, Target: 5 * time.Second, Timeout: 10 * time.Second,
		Parts: []dispatch.Part{{ID: session, Tokens: 29000}, {ID: 1 << 50, Tokens: 1000}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	d, err := m.node.Place(ctx, "llm", r)
	if err != nil {
		return dispatch.Decision{}, time.Since(began)
	}
	return d, time.Since(began)
}

// Guards against requests that wait until the predicted time of their decision, seconds later, at a
// home that has been lost, and are then refused as if this router were overloaded.
func TestQueuedRequestsLeaveALostHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startCluster(t, 5, &source{revision: 1, version: 1})
		home, m := homeAndOther(g, c.all)
		decisions := make(chan dispatch.Decision, 100)
		for i := range uint64(40) {
			go func() {
				d, _ := placeLong(m, 10+i)
				decisions <- d
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		queued := m.node.Dump().Pending
		g.Expect(queued).To(BeNumerically(">=", 10))
		for range 40 - queued {
			<-decisions
		}
		home.stop()
		<-home.done
		// Another request finds within a placement timeout that the home is lost.
		_, took := placeLong(m, 1)
		g.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		time.Sleep(300 * time.Millisecond)
		submitted := 0
		for _, other := range c.all {
			if other != home {
				submitted += decisionsBy(other)
			}
		}
		g.Expect(submitted).To(BeNumerically(">=", queued+1), "the next home decides on them")
		for range queued {
			g.Expect((<-decisions).RouterOverloaded).To(BeFalse())
		}
	})
}

// Guards against requests that wait for their home's decision although this router's state has become
// too old to accept their keys.
func TestQueuedRequestsAreRefusedOnceTheStateIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &source{revision: 1, version: 1}
		c := startCluster(t, 5, s)
		_, m := homeAndOther(g, c.all)
		s.change(func() { s.unavailable = true })
		g.Eventually(m.feed.Age, revokeTimeout, 10*time.Millisecond).Should(BeNumerically(">", revokeTimeout/2))
		decisions := make(chan dispatch.Decision, 100)
		for i := range uint64(40) {
			go func() {
				d, _ := placeLong(m, 10+i)
				decisions <- d
			}()
			time.Sleep(time.Millisecond)
		}
		g.Eventually(m.feed.Fresh, revokeTimeout, 10*time.Millisecond).Should(BeFalse())
		g.Expect(m.node.Dump().Pending).To(BeNumerically(">=", 10))
		time.Sleep(20 * time.Millisecond)
		g.Expect(m.node.Dump().Pending).To(BeZero())
		stale := 0
		for range 40 {
			if (<-decisions).StaleState {
				stale++
			}
		}
		g.Expect(stale).To(BeNumerically(">=", 10))
	})
}
