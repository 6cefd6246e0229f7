package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/fleet"
)

// startHandover runs six routers before two groups of three upstreams.
func startHandover(t *testing.T, enabled bool) *cluster {
	t.Helper()
	c := newCluster(t)
	c.configure = func(i int, cfg *fleet.Config) {
		cfg.Domain, cfg.GroupSize, cfg.Engine.Handover = fmt.Sprint("d", i%3), 3, enabled
		if i == 0 {
			cfg.Weight = 0.1 // receives the requests and must not be a home
		}
	}
	c.start(6, &source{revision: 1, version: 1})
	return c
}

// loadOneGroup sends requests of sessions of group 0 for three seconds, several times what its upstreams
// serve, and returns the numbers of requests that were sent, by group, and refused.
func loadOneGroup(m *member) (sent [2]int, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := uint64(0); i < 150; i++ {
		r := dispatch.Request{Prompt: 10000, Parts: []dispatch.Part{{ID: i, Tokens: 9000}, {ID: 1 << 50, Tokens: 1000}}}
		for m.node.Group("llm", r) != 0 {
			r.Parts[0].ID += 1000
		}
		r.Ticket, r.Team, r.Output, r.Target, r.Timeout = m.node.NewTicket(), "a", 10, time.Second, 5*time.Second
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
			defer cancel()
			d, err := m.node.Place(ctx, "llm", r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || d.Verdict != dispatch.Send {
				refused++
				return
			}
			sent[d.Group]++
			time.AfterFunc(max(d.PredictedFirstByte, 300*time.Millisecond), func() {
				m.node.Started("llm", r.Ticket, dispatch.LoadReport{})
				m.node.Done("llm", r.Ticket, dispatch.Served, time.Second)
			})
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	return sent, refused
}

// Guards against requests that are refused by the home of a full group while the upstreams of another
// one are idle.
func TestIdleGroupServesWhatAFullOneCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sent, refused := loadOneGroup(startHandover(t, true).all[0])
		g.Expect(sent[0] + sent[1] + refused).To(Equal(150))
		g.Expect(sent[1]).To(BeNumerically(">=", sent[0]/2), fmt.Sprint(sent, refused))
	})
}

// Guards against the same without the setting.
func TestGroupsServeTheirOwnRequestsWithoutHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, _ := loadOneGroup(startHandover(t, false).all[0])
		NewWithT(t).Expect(sent[1]).To(BeZero())
	})
}

// Guards against requests that are lost or held because the home to which they were handed over has
// ended.
func TestRequestsAreDecidedWhenTheOtherHomeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startHandover(t, true)
		m := c.all[0]
		loadOneGroup(m)
		other := homeOfGroup(m, "llm/1")
		for _, peer := range c.all[1:] {
			if peer.node.Dump().Router == other {
				time.AfterFunc(time.Second, peer.stop)
			}
		}
		sent, refused := loadOneGroup(m)
		g.Expect(sent[0] + sent[1] + refused).To(Equal(150))
		g.Expect(sent[1]).To(BeNumerically(">", 0))
	})
}

// homeOfGroup returns the home that a router uses for a group.
func homeOfGroup(m *member, name string) uint64 {
	for _, g := range m.node.Dump().Groups {
		if g.Group == name {
			return g.Home
		}
	}
	return 0
}
