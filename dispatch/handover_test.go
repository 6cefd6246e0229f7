package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// newHandoverCore returns a core of n engines that hands requests over.
func newHandoverCore(n int) *dispatch.Core {
	c := dispatch.New(handoverConfig())
	c.SetMembers(time.Second, engines(n))
	return c
}

func handoverConfig() dispatch.Config {
	cfg := dispatch.DefaultConfig(true)
	cfg.Handover = true
	return cfg
}

// fillGroup submits requests until the group has no room for another one, and returns the next number.
func fillGroup(c *dispatch.Core, now time.Duration) uint64 {
	for seq := uint64(1); ; seq++ {
		if d := c.Submit(now, request(seq, "a", 1000+seq))[0]; d.Verdict == dispatch.Refuse {
			return seq + 1
		}
	}
}

// Guards against refusals while another group of the service has room, and against handing over to one
// that has none.
func TestRequestIsHandedOverWhereThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	c := newHandoverCore(2)
	now := 2 * time.Second
	seq := fillGroup(c, now)
	g.Expect(c.SeeksSpare(now)).To(BeTrue())
	c.SetSpare(now, 1, dispatch.Spare{})
	c.SetSpare(now, 3, dispatch.Spare{Work: time.Second})
	d := c.Submit(now, request(seq, "b", 5))[0]
	g.Expect(d.Verdict).To(Equal(dispatch.Refuse))
	g.Expect(d.HandOver).To(BeTrue())
	g.Expect(d.HandOverGroup).To(Equal(3))
	g.Expect(c.Submit(now+time.Second, request(seq, "b", 5))[0].HandOver).To(BeFalse(), "the report is too old")
}

// Guards against a request that is passed on from group to group.
func TestHandedOverRequestIsDecidedForGood(t *testing.T) {
	g := NewWithT(t)
	c := newHandoverCore(2)
	now := 2 * time.Second
	r := request(fillGroup(c, now), "b", 5)
	c.SetSpare(now, 1, dispatch.Spare{Work: time.Hour})
	r.HandedOver = true
	d := c.Submit(now, r)[0]
	g.Expect(d.Verdict).To(Equal(dispatch.Refuse))
	g.Expect(d.HandOver).To(BeFalse())
}

// Guards against a broken stream that is handed over to upstreams of another version.
func TestBrokenStreamIsNotHandedOver(t *testing.T) {
	g := NewWithT(t)
	c := newHandoverCore(2)
	now := 2 * time.Second
	r := request(fillGroup(c, now), "b", 5)
	c.SetSpare(now, 1, dispatch.Spare{Work: time.Hour})
	r.Version = "v1"
	g.Expect(c.Submit(now, r)[0].HandOver).To(BeFalse())
}

// Guards against more work handed over than the other group has reported, whatever the requests.
func TestNoMoreIsHandedOverThanReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newHandoverCore(1)
		now := 2 * time.Second
		seq := fillGroup(c, now)
		work := time.Duration(rapid.IntRange(0, 2000).Draw(t, "work")) * time.Millisecond
		c.SetSpare(now, 2, dispatch.Spare{Work: work})
		handed := time.Duration(0)
		for range 100 {
			r := request(seq, "b", seq)
			r.Prompt = rapid.IntRange(1000, 20000).Draw(t, "prompt")
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "wait")) * time.Millisecond
			seq++
			d := c.Submit(now, r)[0]
			if d.HandOver {
				handed += prefillTime(r.Prompt)
			}
		}
		NewWithT(t).Expect(handed).To(BeNumerically("<=", work))
	})
}

// prefillTime returns a lower bound of the time that an engine prefills a prompt in.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / dispatch.DefaultConfig(true).PrefillTokensPerMs * float64(time.Millisecond))
}

// Guards against decisions that depend on other groups although the setting is off.
func TestReportsWithoutHandoverChangeNothing(t *testing.T) {
	g := NewWithT(t)
	play := func(report bool) (all []dispatch.Decision) {
		c := newCore(3)
		for seq := range uint64(300) {
			now := 2*time.Second + time.Duration(seq)*5*time.Millisecond
			if report {
				c.SetSpare(now, 1, dispatch.Spare{Work: time.Hour})
			}
			r := request(seq, "a", seq%40)
			r.CacheHint = "elsewhere"
			all = append(all, c.Submit(now, r)...)
			all = append(all, c.Tick(now)...)
		}
		return all
	}
	g.Expect(play(true)).To(Equal(play(false)))
}

// Guards against prompts that are prefilled again in the other group, though an engine of the first
// one has their session cached.
func TestHandedOverRequestCopiesItsSession(t *testing.T) {
	g := NewWithT(t)
	c := newHandoverCore(1)
	now := 2 * time.Second
	c.SeedCache(incarnation("e0"), request(1, "a", 5).Parts[:1])
	c.SetSpare(now, 1, dispatch.Spare{Work: time.Second})
	var r dispatch.Request
	var d dispatch.Decision
	for seq := fillGroup(c, now); !d.HandOver; seq++ {
		r = request(seq, "b", 5)
		d = c.Submit(now, r)[0]
	}
	g.Expect(d.CopyFrom).To(Equal("e0"))
	other := dispatch.New(handoverConfig())
	members := engines(2)[1:]
	other.SetMembers(time.Second, members)
	r.HandedOver, r.CacheHint = true, d.CopyFrom
	got := other.Submit(now, r)[0]
	g.Expect(got.Verdict).To(Equal(dispatch.Send))
	g.Expect(got.CopyFrom).To(Equal("e0"))
	g.Expect(got.PredictedFirstByte).To(BeNumerically("<", prefillTime(9000)))
}

// Guards against a group that reports room which its queue or its bans have taken.
func TestSpareIsWhatUpstreamsWouldAccept(t *testing.T) {
	g := NewWithT(t)
	c := newHandoverCore(3)
	now := 2 * time.Second
	g.Expect(c.Spare(now).Work).To(Equal(3 * dispatch.DefaultConfig(true).BacklogWindow))
	fillGroup(c, now)
	g.Expect(c.Spare(now).Work).To(BeZero())
}
