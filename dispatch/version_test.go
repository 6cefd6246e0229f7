package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// versionedEngines returns engines with the given software versions.
func versionedEngines(versions ...string) []dispatch.Member {
	members := engines(len(versions))
	for i, version := range versions {
		members[i].Version = version
	}
	return members
}

// Guards against a broken stream that continues at an upstream of another or an unknown version.
func TestBrokenStreamIsOnlyPlacedAtItsVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		versions := rapid.SliceOfN(rapid.SampledFrom([]string{"", "v1", "v2"}), 1, 6).Draw(rt, "versions")
		c := dispatch.New(dispatch.DefaultConfig(true))
		c.SetMembers(time.Second, versionedEngines(versions...))
		now := 2 * time.Second
		check := func(ds []dispatch.Decision) {
			for _, d := range ds {
				if d.Verdict != dispatch.Send || d.Ticket.Seq%2 == 0 {
					continue
				}
				var index int
				_, err := fmt.Sscanf(d.Upstream, "e%d", &index)
				if err != nil || versions[index] != "v1" {
					rt.Fatalf("stream of v1 sent to %s of versions %v", d.Upstream, versions)
				}
			}
		}
		for seq := range uint64(60) {
			r := request(seq, "a", seq%7)
			if seq%2 == 1 {
				r.Version = "v1"
			}
			check(c.Submit(now, r))
			now += 20 * time.Millisecond
			check(c.Tick(now))
		}
	})
}

// Guards against a broken stream that waits behind requests which could go to other upstreams.
func TestBrokenStreamGoesBeforeRequestsOfAnyVersion(t *testing.T) {
	g := NewWithT(t)
	c := dispatch.New(dispatch.DefaultConfig(false))
	members := versionedEngines("v1")
	members[0].Slots = 1
	c.SetMembers(time.Second, members)
	now := 2 * time.Second
	plain := func(seq uint64, version string) dispatch.Request {
		return dispatch.Request{Ticket: ticket(seq), Team: "a", Version: version, Target: time.Second, Timeout: 3 * time.Second}
	}
	g.Expect(c.Submit(now, plain(1, ""))[0].Verdict).To(Equal(dispatch.Send))
	g.Expect(c.Submit(now, plain(2, ""))[0].Verdict).To(Equal(dispatch.Wait))
	g.Expect(c.Submit(now, plain(3, "v1"))[0].Verdict).To(Equal(dispatch.Wait))
	next := c.Done(now+40*time.Millisecond, ticket(1), dispatch.Served, 40*time.Millisecond)
	g.Expect(next).To(HaveLen(1))
	g.Expect(next[0].Ticket).To(Equal(ticket(3)))
}

// Guards against an engine that copies cached parts from one of another software version.
func TestPartsAreCopiedWithinAVersionOnly(t *testing.T) {
	firstElsewhere := func(versions ...string) dispatch.Decision {
		c := dispatch.New(dispatch.DefaultConfig(true))
		c.SetMembers(time.Second, versionedEngines(versions...))
		c.SeedCache(incarnation("e0"), []dispatch.Part{{ID: 5, Tokens: 6000}})
		for seq := range uint64(30) {
			for _, d := range c.Submit(2*time.Second, request(seq, "a", 5)) {
				if d.Verdict == dispatch.Send && d.Upstream == "e1" {
					return d
				}
			}
		}
		return dispatch.Decision{}
	}
	g := NewWithT(t)
	g.Expect(firstElsewhere("v1", "v1").CopyFrom).To(Equal("e0"))
	g.Expect(firstElsewhere("v1", "v2").CopyFrom).To(BeEmpty())
}
