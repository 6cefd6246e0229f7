package fleet_test

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/fleet"
)

const (
	// wideRouters is how many routers the wide team's callers meet.
	wideRouters = 24
	// tallyGroups are the groups into which the test's six upstreams fall.
	tallyGroups = 2
	// askEvery is the time between two requests of a team.
	askEvery = 20 * time.Millisecond
)

// startGroups runs routers that divide the upstreams into two groups.
func startGroups(t *testing.T, loss float64) *cluster {
	t.Helper()
	c := newCluster(t)
	c.shape = func(i int, cfg *fleet.Config) {
		cfg.Domain, cfg.GroupSize = fmt.Sprint("d", i%3), 3
		if i == 0 {
			cfg.Weight = 0.1 // it takes requests in all tests, and is no home
		}
	}
	c.start(wideRouters, &source{revision: 1, version: 1})
	c.net.mu.Lock()
	c.net.loss = loss
	c.net.mu.Unlock()
	return c
}

// load lets a wide team's callers ask through all routers that are up and a narrow one's
// through the first, until ctx ends.
func (c *cluster) load(ctx context.Context, up []*member) {
	var over sync.WaitGroup
	for i := uint64(0); ctx.Err() == nil; i++ {
		over.Go(func() { serveOne(ctx, up[i%uint64(len(up))], "wide", i) })
		over.Go(func() { serveOne(ctx, up[0], "narrow", i) })
		time.Sleep(askEvery)
	}
	over.Wait()
}

// serveOne places a request and ends it a moment later.
func serveOne(ctx context.Context, m *member, team string, i uint64) {
	r := dispatch.Request{
		Ticket: m.node.NewTicket(), Team: team, Prompt: 1000, Output: 10, Target: time.Second, Timeout: 2 * time.Second,
		Parts: []dispatch.Part{{ID: 1000 + i%40, Tokens: 900}, {ID: 1 << 50, Tokens: 100}},
	}
	d, err := m.node.Place(ctx, "llm", r)
	if err != nil || d.Verdict != dispatch.Send {
		return
	}
	time.Sleep(30 * time.Millisecond)
	m.node.Started("llm", r.Ticket)
	m.node.Done("llm", r.Ticket, dispatch.Served, 30*time.Millisecond)
}

// accounts are a team's at the homes of all groups.
func (c *cluster) accounts(up []*member, team string) []dispatch.TeamState {
	var out []dispatch.TeamState
	for group := range tallyGroups {
		for _, m := range up {
			if state, ok := m.node.Account("llm", group, team); ok {
				out = append(out, state)
			}
		}
	}
	return out
}

// got is what a team got from all homes, those that were homes before included.
func got(up []*member, team string) float64 {
	sum := 0.0
	for _, m := range up {
		for group := range tallyGroups {
			sum += m.node.Served("llm", group, team).Window
		}
	}
	return sum
}

// knowAll checks that each home knows, within a quarter, what a team got from the fleet.
func (c *cluster) knowAll(g Gomega, up []*member, team string) {
	accounts := c.accounts(up, team)
	g.Expect(accounts).To(HaveLen(tallyGroups))
	truth := got(up, team)
	for i, a := range accounts {
		g.Expect(a.Served+a.Remote).To(BeNumerically("~", truth, truth/4), "%s at group %d", team, i)
	}
}

// Guards against homes that know a part of what a widely spread team got elsewhere.
func TestHomesKnowWhatTeamsGotFromOtherHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startGroups(t, 0.05)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.load(ctx, c.all)
		time.Sleep(8 * time.Second)
		for range 5 {
			time.Sleep(300 * time.Millisecond)
			// A router that has missed several heartbeats in a row takes itself for a home
			// for a moment, beside the one that is.
			g.Eventually(func(g Gomega) {
				c.knowAll(g, c.all, "wide")
				c.knowAll(g, c.all, "narrow")
			}, time.Second, 50*time.Millisecond).Should(Succeed())
		}
	})
}

// without returns the routers but one, which is stopped.
func (c *cluster) without(m *member) []*member {
	m.stop()
	<-m.done
	return slices.DeleteFunc(slices.Clone(c.all), func(other *member) bool { return other == m })
}

// isHome reports whether a router is the home of a group.
func isHome(m *member) bool {
	for group := range tallyGroups {
		if _, ok := m.node.Account("llm", group, "narrow"); ok {
			return true
		}
	}
	return false
}

// Guards against teams that count as served nothing once the router that adds up is lost.
func TestTeamsAccountsOutliveTheRouterThatAddsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startGroups(t, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.load(ctx, c.all[:1])
		time.Sleep(8 * time.Second)
		lost := slices.IndexFunc(c.all, func(m *member) bool { return m.node.AddsUp("wide") })
		// What becomes of a group's home is another matter.
		g.Expect(isHome(c.all[lost])).To(BeFalse())
		up := c.without(c.all[lost])
		for range 30 {
			time.Sleep(200 * time.Millisecond)
			for _, a := range c.accounts(up, "wide") {
				g.Expect(a.Remote).To(BeNumerically(">", a.Served/2))
			}
		}
		c.knowAll(g, up, "wide")
	})
}

// Guards against a new home that takes teams for served nothing.
func TestNewHomeLearnsWhatTeamsGot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startGroups(t, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.load(ctx, c.all[:1])
		time.Sleep(8 * time.Second)
		lost := slices.IndexFunc(c.all, isHome)
		before := c.accounts(c.all, "wide")
		g.Expect(before).To(HaveLen(tallyGroups))
		up := c.without(c.all[lost])
		known := func() float64 {
			least := math.Inf(1)
			accounts := c.accounts(up, "wide")
			for _, a := range accounts {
				least = min(least, a.Remote)
			}
			if len(accounts) < tallyGroups {
				return 0
			}
			return least
		}
		// It takes the routers a second to miss the home.
		g.Eventually(known, 2*time.Second+time.Second, 50*time.Millisecond).Should(BeNumerically(">", before[0].Served/2))
	})
}
