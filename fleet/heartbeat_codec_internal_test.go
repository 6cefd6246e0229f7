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
