package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// localConfig returns the configuration with locality.
func localConfig(engine bool) dispatch.Config {
	cfg := dispatch.DefaultConfig(engine)
	cfg.Locality = true
	return cfg
}

// domainEngines returns engines, each in the next of the given failure domains.
func domainEngines(n int, domains ...string) []dispatch.Member {
	members := engines(n)
	for i := range members {
		members[i].Domain = domains[i%len(domains)]
	}
	return members
}

// newLocalCore returns a core with locality for engines in the given failure domains.
func newLocalCore(n int, domains ...string) *dispatch.Core {
	c := dispatch.New(localConfig(true))
	c.SetMembers(time.Second, domainEngines(n, domains...))
	c.SetLocality(true)
	return c
}

// requestIn returns a request whose router is in a failure domain.
func requestIn(domain string, seq, session uint64) dispatch.Request {
	r := request(seq, "a", session)
	r.Domain = domain
	return r
}

// playback submits a drawn load to a core and records its decisions.
type playback struct {
	rnd       *rand.Rand
	running   []dispatch.Decision
	decisions []dispatch.Decision
}

func (p *playback) record(ds []dispatch.Decision) {
	p.decisions = append(p.decisions, ds...)
	for _, d := range ds {
		if d.Verdict == dispatch.Send {
			p.running = append(p.running, d)
		}
	}
}

// play returns the decisions of a core on a load in which requests fail and engines leave and
// return. The load depends on the seed and the earlier decisions alone.
func play(c *dispatch.Core, members []dispatch.Member, domains []string, seed uint64) []dispatch.Decision {
	p := &playback{rnd: rand.New(rand.NewPCG(seed, 3))}
	outcomes := []dispatch.Outcome{dispatch.Served, dispatch.Served, dispatch.Served, dispatch.Failed, dispatch.Unreachable, dispatch.Rejected}
	now := 2 * time.Second
	for seq := range uint64(1500) {
		now += time.Duration(p.rnd.IntN(12)) * time.Millisecond
		r := request(seq, fmt.Sprint("t", p.rnd.IntN(4)), uint64(p.rnd.IntN(40)))
		r.Domain = domains[p.rnd.IntN(len(domains))]
		p.record(c.Submit(now, r))
		p.record(c.Tick(now))
		for len(p.running) > 0 && p.rnd.IntN(20) < len(p.running) {
			i := p.rnd.IntN(len(p.running))
			d := p.running[i]
			p.running = append(p.running[:i:i], p.running[i+1:]...)
			p.record(c.Started(now, d.Ticket))
			p.record(c.Done(now, d.Ticket, outcomes[p.rnd.IntN(len(outcomes))], 300*time.Millisecond))
		}
		if seq%200 == 0 {
			p.record(c.SetMembers(now, members[:len(members)-p.rnd.IntN(3)]))
		}
	}
	return p.decisions
}

// Guards against a change of decisions where locality isn't enabled, a domain is too small, the
// router's domain isn't known, or there is only one domain; and against decisions that don't
// repeat.
func TestDecisionsWithoutLocalityStayTheSame(t *testing.T) {
	g := NewWithT(t)
	both, partlyKnown, one, unknown := []string{"a", "b"}, []string{"a", ""}, []string{"a"}, []string{""}
	for seed := range uint64(5) {
		playOn := func(cfg dispatch.Config, enabled bool, domains, callers []string) []dispatch.Decision {
			members := domainEngines(6, domains...)
			c := dispatch.New(cfg)
			c.SetMembers(time.Second, members)
			c.SetLocality(enabled)
			return play(c, members, callers, seed)
		}
		before := playOn(dispatch.DefaultConfig(true), true, both, both)
		g.Expect(playOn(localConfig(true), false, both, both)).To(Equal(before))
		g.Expect(playOn(localConfig(true), true, partlyKnown, unknown)).To(Equal(playOn(dispatch.DefaultConfig(true), true, partlyKnown, unknown)))
		g.Expect(playOn(localConfig(true), true, one, both)).To(Equal(before))
		local := playOn(localConfig(true), true, both, both)
		g.Expect(local).NotTo(Equal(before))
		g.Expect(playOn(localConfig(true), true, both, both)).To(Equal(local))
	}
}

// Guards against requests that cross the border although upstreams on both sides are idle.
func TestIdleUpstreamsServeTheirDomain(t *testing.T) {
	g := NewWithT(t)
	c := newLocalCore(6, "a", "b", "c")
	now := 2 * time.Second
	for seq, domain := range []string{"a", "b", "c", "c", "b", "a"} {
		d := c.Submit(now, requestIn(domain, uint64(seq), 100+uint64(seq)))[0]
		g.Expect(d.Upstream).To(BeElementOf("e"+fmt.Sprint(domain[0]-'a'), "e"+fmt.Sprint(domain[0]-'a'+3)))
	}
}

// Guards against requests that are refused, or wait, beside idle upstreams in another domain.
func TestLoadedDomainIsHelped(t *testing.T) {
	g := NewWithT(t)
	c := newLocalCore(2, "a", "b")
	now := 2 * time.Second
	sent := map[string]int{}
	for seq := range uint64(4) {
		d := c.Submit(now, requestIn("a", seq, 100+seq))[0]
		g.Expect(d.Verdict).NotTo(Equal(dispatch.Refuse))
		sent[d.Upstream]++
	}
	g.Expect(sent).To(HaveKeyWithValue("e1", BeNumerically(">=", 1)))
}

// Guards against a plain service of which one domain's upstreams queue requests while others have
// free slots, or that crosses the border while there are free slots on both sides.
func TestPlainServiceUsesFreeSlotsOfItsDomainFirst(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(localConfig(false))
	c.SetLocality(true)
	const slots = 6
	c.SetMembers(time.Second, []dispatch.Member{
		{Incarnation: incarnation("near"), Slots: slots, Domain: "a"}, {Incarnation: incarnation("far"), Slots: slots, Domain: "b"},
	})
	now := 2 * time.Second
	for seq := range uint64(2 * slots) {
		now += time.Millisecond
		d := c.Submit(now, dispatch.Request{Ticket: ticket(seq), Team: "t", Domain: "a", Target: 150 * time.Millisecond, Timeout: time.Second})[0]
		g.Expect(d.Verdict).To(Equal(dispatch.Send))
		if seq < slots {
			g.Expect(d.Upstream).To(Equal("near"))
		} else {
			g.Expect(d.Upstream).To(Equal("far"))
		}
	}
}

// Guards against callers who are served less because their domain has few upstreams in a group, or
// none.
func TestSmallDomainsRelyOnOthers(t *testing.T) {
	g := NewWithT(t)
	members := engines(33)
	for i := range members {
		switch {
		case i < 1:
			members[i].Domain = "one"
		case i < 3:
			members[i].Domain = "two"
		default:
			members[i].Domain = "thirty"
		}
	}
	served := func(domain string, enabled bool) float64 {
		c := dispatch.New(localConfig(true))
		c.SetMembers(time.Second, members)
		c.SetLocality(enabled)
		run := newSimulation(c)
		run.domain = domain
		for range 1000 { // 10 s at nine tenths of the capacity
			run.step(10 * time.Millisecond)
			run.submit("a", run.seq%60)
			run.submit("a", run.seq%60)
		}
		return float64(run.served["a"]) / float64(run.submitted["a"])
	}
	for _, domain := range []string{"one", "two", "thirty", "none"} {
		with, without := served(domain, true), served(domain, false)
		t.Logf("%s: %.3f with locality, %.3f without", domain, with, without)
		g.Expect(with).To(BeNumerically(">=", without-0.02), domain)
	}
}

// Guards against requests that wait for an upstream of their domain beside a free slot elsewhere.
func TestFreeSlotServesRequestsThatWaitInOtherDomains(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(localConfig(false))
	c.SetLocality(true)
	c.SetMembers(time.Second, []dispatch.Member{
		{Incarnation: incarnation("near"), Slots: 1, Domain: "a"}, {Incarnation: incarnation("far"), Slots: 1, Domain: "b"},
	})
	submit := func(seq uint64) dispatch.Decision {
		return c.Submit(2*time.Second, dispatch.Request{Ticket: ticket(seq), Team: "t", Domain: "a", Target: 300 * time.Millisecond, Timeout: time.Second})[0]
	}
	g.Expect(submit(1).Upstream).To(Equal("near"))
	g.Expect(submit(2).Upstream).To(Equal("far"))
	g.Expect(submit(3).Verdict).To(Equal(dispatch.Wait))
	g.Expect(submit(4).Verdict).To(Equal(dispatch.Wait))
	running := ticket(2)
	for range 2 {
		sent := c.Done(2050*time.Millisecond, running, dispatch.Served, 50*time.Millisecond)
		g.Expect(sent).To(HaveLen(1))
		g.Expect(sent[0].Upstream).To(Equal("far"))
		running = sent[0].Ticket
	}
}
