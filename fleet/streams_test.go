package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/resumption"
)

const (
	streamWindow  = 8 * time.Second
	streamDomains = 4
)

// startVersioned starts routers in several failure domains before upstreams of the versions.
func startVersioned(t *testing.T, routers int, versions ...string) (*cluster, *source) {
	t.Helper()
	s := &source{revision: 1, version: 1}
	s.edit = func(b *feed.Batch) {
		i := 0
		for _, c := range b.Changes {
			if c.Upstream != nil {
				c.Upstream.Version = versions[i%len(versions)]
				i++
			}
		}
	}
	c := newCluster(t)
	c.configure = func(i int, cfg *fleet.Config) { cfg.Domain = fmt.Sprint("d", i%streamDomains) }
	c.start(routers, s)
	return c, s
}

func continueStream(m *member, attempt string) resumption.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return m.node.StreamVersion(ctx, "llm", attempt, streamWindow)
}

// Guards against streams that can't go on, or go on at another version, after the router that served
// them and a whole failure domain are lost, with lossy links.
func TestOriginOfAStreamSurvivesTheLossOfADomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, _ := startVersioned(t, 12, "v1", "v2")
		c.net.setLoss(0.03)
		time.Sleep(time.Second)
		const streams = 200
		for i := range streams {
			c.all[0].node.ReportStreamBegan(fmt.Sprint("a", i), resumption.Origin{Service: "llm", Version: fmt.Sprint("v", 1+i%2)})
		}
		time.Sleep(10 * time.Millisecond)
		for i, m := range c.all {
			if i == 0 || i%streamDomains == 1 {
				m.stop()
				<-m.done
			}
		}
		continued := 0
		for i := range streams {
			d := continueStream(c.all[2+i%2], fmt.Sprint("a", i))
			if d.Verdict == resumption.Continue {
				continued++
				g.Expect(d.Version).To(Equal(fmt.Sprint("v", 1+i%2)))
			}
		}
		g.Expect(continued).To(BeNumerically(">=", streams*9/10))
	})
}

// Guards against a router that is cut off from its peers and decides by its own state.
func TestRouterThatIsCutOffContinuesNoStreamOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, s := startVersioned(t, 6, "v1")
		time.Sleep(20 * time.Second)
		g.Expect(continueStream(c.all[3], "unseen").Verdict).To(Equal(resumption.Continue), "only one version has served")

		c.net.isolate(c.all[3].addr)
		s.change(func() { s.unavailable = true })
		time.Sleep(time.Second)
		g.Expect(continueStream(c.all[3], "unseen").Verdict).To(Equal(resumption.Refuse))
		c.all[3].node.ReportStreamBegan("own", resumption.Origin{Service: "llm", Version: "v1"})
		g.Expect(continueStream(c.all[3], "own").Version).To(Equal("v1"))
	})
}

// Guards against made-up attempts that cost an unbounded number of datagrams.
func TestContinuationsThatAreLookedUpAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, _ := startVersioned(t, 12, "v1", "v2")
		c.net.isolate(c.all[5].addr)
		before, _ := c.net.traffic(c.all[5].addr)
		const attempts = 3000
		done := make(chan resumption.Verdict, attempts)
		for i := range attempts {
			go func() { done <- continueStream(c.all[5], fmt.Sprint("made up ", i)).Verdict }()
		}
		for range attempts {
			g.Expect(<-done).To(Equal(resumption.Refuse))
		}
		after, _ := c.net.traffic(c.all[5].addr)
		g.Expect(after - before).To(BeNumerically("<", 256*resumption.Asked*8))
	})
}

// Guards against a record that costs more than three datagrams of 60 bytes.
func TestCostOfAStreamsOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c, _ := startVersioned(t, 12, "v1", "v2")
		datagrams, bytes := c.net.traffic(c.all[0].addr)
		const streams = 300
		for i := range streams {
			c.all[0].node.ReportStreamBegan(fmt.Sprint("a", i), resumption.Origin{Service: "llm-plan", Version: "v1.12"})
		}
		datagramsAfter, bytesAfter := c.net.traffic(c.all[0].addr)
		g.Expect(datagramsAfter - datagrams).To(BeNumerically("<=", 3*streams+200))
		g.Expect(bytesAfter - bytes).To(BeNumerically("<=", 60*3*streams))
		t.Logf("%.2f datagrams and %.0f bytes a stream", float64(datagramsAfter-datagrams)/streams, float64(bytesAfter-bytes)/streams)
	})
}
