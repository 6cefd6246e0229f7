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
	// fleetRouters is the number of routers, all of which receive requests of the wide team.
	fleetRouters = 24
	// upstreamGroups is the number of groups into which the six upstreams are divided.
	upstreamGroups = 2
	// requestInterval is the time between two requests of a team.
	requestInterval = 20 * time.Millisecond
)

// startGroups runs routers that divide the upstreams into two groups.
func startGroups(t *testing.T, loss float64) *cluster {
	t.Helper()
	c := newCluster(t)
	c.configure = func(i int, cfg *fleet.Config) {
		cfg.Domain, cfg.GroupSize = fmt.Sprint("d", i%3), 3
		if i == 0 {
			cfg.Weight = 0.1 // receives requests in all tests and must not be a home
		}
	}
	c.start(fleetRouters, &source{revision: 1, version: 1})
	c.net.mu.Lock()
	c.net.loss = loss
	c.net.mu.Unlock()
	return c
}

// runLoad sends requests of the wide team to all given routers and of the narrow team to the
// first one, until ctx is done.
func (c *cluster) runLoad(ctx context.Context, up []*member) {
	var wg sync.WaitGroup
	for i := uint64(0); ctx.Err() == nil; i++ {
		wg.Go(func() { serveOne(ctx, up[i%uint64(len(up))], "wide", i) })
		wg.Go(func() { serveOne(ctx, up[0], "narrow", i) })
		time.Sleep(requestInterval)
	}
	wg.Wait()
}

// serveOne places a request and completes it after 30 ms.
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
	m.node.Started("llm", r.Ticket, dispatch.LoadReport{})
	m.node.Done("llm", r.Ticket, dispatch.Served, 30*time.Millisecond)
}

// accounts returns the states of a team at the homes of all groups.
func (c *cluster) accounts(up []*member, team string) []dispatch.TeamState {
	var out []dispatch.TeamState
	for group := range upstreamGroups {
		for _, m := range up {
			if state, ok := m.node.TeamAccount("llm", group, team); ok {
				out = append(out, state)
			}
		}
	}
	return out
}

// totalUsage returns the usage of a team at all homes, including earlier homes.
func totalUsage(up []*member, team string) float64 {
	sum := 0.0
	for _, m := range up {
		for group := range upstreamGroups {
			sum += m.node.Served("llm", group, team).Window
		}
	}
	return sum
}

// expectUsageKnown checks that each home has the fleet-wide usage of a team, to within a
// quarter.
func (c *cluster) expectUsageKnown(g Gomega, up []*member, team string) {
	accounts := c.accounts(up, team)
	g.Expect(accounts).To(HaveLen(upstreamGroups))
	total := totalUsage(up, team)
	for i, a := range accounts {
		g.Expect(a.Served+a.Remote).To(BeNumerically("~", total, total/4), "%s at group %d", team, i)
	}
}

// Guards against homes that receive only a part of a team's usage at other homes if the team's
// callers use many routers.
func TestHomesReceiveTheTeamUsageOfOtherHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startGroups(t, 0.05)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.runLoad(ctx, c.all)
		time.Sleep(8 * time.Second)
		for range 5 {
			time.Sleep(300 * time.Millisecond)
			// A router that has missed several heartbeats in a row may act as a second home
			// for a short time.
			g.Eventually(func(g Gomega) {
				c.expectUsageKnown(g, c.all, "wide")
				c.expectUsageKnown(g, c.all, "narrow")
			}, time.Second, 50*time.Millisecond).Should(Succeed())
		}
	})
}

// stopMember stops a router and returns the others.
func (c *cluster) stopMember(m *member) []*member {
	m.stop()
	<-m.done
	return slices.DeleteFunc(slices.Clone(c.all), func(other *member) bool { return other == m })
}

// isHome reports whether a router is the home of a group.
func isHome(m *member) bool {
	for group := range upstreamGroups {
		if _, ok := m.node.TeamAccount("llm", group, "narrow"); ok {
			return true
		}
	}
	return false
}

// Guards against teams whose usage counts as zero once the router that aggregates it is lost.
func TestTeamUsageSurvivesTheLossOfItsHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startGroups(t, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.runLoad(ctx, c.all[:1])
		time.Sleep(8 * time.Second)
		stopped := slices.IndexFunc(c.all, func(m *member) bool { return m.node.AggregatesUsage("wide") })
		// The loss of a group's home is tested below.
		g.Expect(isHome(c.all[stopped])).To(BeFalse())
		up := c.stopMember(c.all[stopped])
		for range 30 {
			time.Sleep(200 * time.Millisecond)
			for _, a := range c.accounts(up, "wide") {
				g.Expect(a.Remote).To(BeNumerically(">", a.Served/2))
			}
		}
		c.expectUsageKnown(g, up, "wide")
	})
}

// Guards against a new home that counts the usage of teams as zero.
func TestNewHomeReceivesTheTeamUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := startGroups(t, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.runLoad(ctx, c.all[:1])
		time.Sleep(8 * time.Second)
		stopped := slices.IndexFunc(c.all, isHome)
		before := c.accounts(c.all, "wide")
		g.Expect(before).To(HaveLen(upstreamGroups))
		up := c.stopMember(c.all[stopped])
		minElsewhere := func() float64 {
			least := math.Inf(1)
			accounts := c.accounts(up, "wide")
			for _, a := range accounts {
				least = min(least, a.Remote)
			}
			if len(accounts) < upstreamGroups {
				return 0
			}
			return least
		}
		// The routers need one second to detect the loss of the home.
		g.Eventually(minElsewhere, 2*time.Second+time.Second, 50*time.Millisecond).Should(BeNumerically(">", before[0].Served/2))
	})
}
