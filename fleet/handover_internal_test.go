package fleet

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against replies that hand a request over to a group that can't exist, and against decisions
// to send that are taken for a handover.
func TestOnlyValidRefusalsHandRequestsOver(t *testing.T) {
	g := NewWithT(t)
	var reply placeReply
	encodeHandOver(&reply, &dispatch.Decision{Verdict: dispatch.Refuse, HandOver: true, HandOverGroup: 5, CopyFrom: "u1"})
	d := dispatch.Decision{Verdict: dispatch.Refuse, Upstream: reply.Upstream, CopyFrom: reply.CopyFrom}
	decodeHandOver(&d)
	g.Expect(d).To(Equal(dispatch.Decision{Verdict: dispatch.Refuse, HandOver: true, HandOverGroup: 5, CopyFrom: "u1"}))
	for _, from := range []string{"", "u1", "group/", "group/-1", "group/x", "group/99999"} {
		d := dispatch.Decision{Verdict: dispatch.Refuse, CopyFrom: from}
		decodeHandOver(&d)
		g.Expect(d.HandOver).To(BeFalse(), from)
	}
	send := dispatch.Decision{Verdict: dispatch.Send, CopyFrom: "group/1"}
	decodeHandOver(&send)
	g.Expect(send.HandOver).To(BeFalse())
}

// Guards against groups that ask themselves, or more than a few others.
func TestFewOtherGroupsAreAskedForSpare(t *testing.T) {
	g := NewWithT(t)
	n := &Node{random: rand.New(rand.NewPCG(1, 1))}
	for _, count := range []int{1, 2, 4, 5, 6, 256} {
		for index := range min(count, 8) {
			others := n.otherGroups(index, count)
			g.Expect(others).NotTo(ContainElement(index))
			g.Expect(len(others)).To(BeNumerically("<=", sparePeers))
		}
	}
}
