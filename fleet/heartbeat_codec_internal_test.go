package fleet

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
)

// Guards against an upgrade that splits the fleet, since routers of the earlier version can't
// decode the heartbeats of the new one.
func TestHeartbeatsAreUnderstoodByTheEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	type earlierPacket struct {
		_          struct{} `cbor:",toarray"`
		From       uint64
		Heartbeat  *heartbeatFields
		Ask        *placeRequest
		Reply      *placeReply
		Report     *report
		Infrequent *infrequent
	}
	fields := heartbeatFields{Sent: 7, IP: "10.0.0.1", Peers: []string{"10.0.0.2"}, QuarantineDigest: 9}

	raw, err := cbor.Marshal(&packet{From: 1, Heartbeat: &heartbeat{heartbeatFields: fields}})
	g.Expect(err).NotTo(HaveOccurred())
	var earlier earlierPacket
	g.Expect(cbor.Unmarshal(raw, &earlier)).To(Succeed())
	g.Expect(*earlier.Heartbeat).To(Equal(fields))

	raw, err = cbor.Marshal(&earlier)
	g.Expect(err).NotTo(HaveOccurred())
	var received packet
	g.Expect(cbor.Unmarshal(raw, &received)).To(Succeed())
	g.Expect(*received.Heartbeat).To(Equal(heartbeat{heartbeatFields: fields}))
}

func TestHeartbeatCarriesPlatformUnreachable(t *testing.T) {
	g := NewWithT(t)
	sent := heartbeat{heartbeatFields: heartbeatFields{Sent: 7, IP: "10.0.0.1", Peers: []string{"10.0.0.2"}}, PlatformUnreachable: true}
	raw, err := cbor.Marshal(&packet{From: 1, Heartbeat: &sent})
	g.Expect(err).NotTo(HaveOccurred())
	var received packet
	g.Expect(cbor.Unmarshal(raw, &received)).To(Succeed())
	g.Expect(*received.Heartbeat).To(Equal(sent))
}

// Guards against routers of the earlier release that can't decode heartbeats after the platform was
// restored, and against routers of this one that don't learn of it.
func TestHeartbeatCarriesTheEpochAsAPeerThatIsIgnored(t *testing.T) {
	g := NewWithT(t)
	for _, unreachable := range []bool{false, true} {
		sent := heartbeat{heartbeatFields: heartbeatFields{Sent: 7, IP: "10.0.0.1", Peers: []string{"10.0.0.2"}}, PlatformUnreachable: unreachable, Epoch: 3}
		raw, err := cbor.Marshal(&sent)
		g.Expect(err).NotTo(HaveOccurred())
		var received heartbeat
		g.Expect(cbor.Unmarshal(raw, &received)).To(Succeed())
		g.Expect(received).To(Equal(sent))
		if unreachable {
			continue
		}
		var earlier heartbeatFields
		g.Expect(cbor.Unmarshal(raw, &earlier)).To(Succeed())
		g.Expect(earlier.Peers).To(Equal([]string{"10.0.0.2", "epoch/3"}))
		_, ok := (&Node{}).addrOf(earlier.Peers[1])
		g.Expect(ok).To(BeFalse())
	}
}
