package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// Guards against a leader that encodes its state for each router of its failure domain, and
// against one that sends an old state after a change.
func TestStateIsEncodedOncePerChange(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Time(time.Hour)
	f := feed.New(feed.DefaultConfig(0, 0), blockedSource{}, func() boottime.Time { return now }, zerolog.Nop(), func() bool { return false }, func() {})
	var c stateCache
	raw, _, err := c.encode(f, feed.StateVersion{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw).To(BeNil(), "no state yet")

	put := func(id string, revision int64) {
		f.Import(&feed.PeerState{Revision: revision, Config: &routing.Config{Version: 1}, Upstreams: []registry.Upstream{{ID: id, Service: "llm", Revision: revision}}}, now)
	}
	put("u", 1)
	first, age, err := c.encode(f, feed.StateVersion{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(age).To(BeZero())
	now = now.Add(time.Second)
	again, age, err := c.encode(f, feed.StateVersion{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(&again[0]).To(BeIdenticalTo(&first[0]))
	g.Expect(age).To(Equal(int64(time.Second)), "the age is that of now")

	put("v", 2)
	changed, _, err := c.encode(f, feed.StateVersion{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).NotTo(Equal(first))
}
