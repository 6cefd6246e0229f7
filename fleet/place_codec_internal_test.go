package fleet

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/registry"
)

// Guards against homes of the earlier release that can't decode the requests of the new one.
func TestPlaceRequestsAreUnderstoodByTheEarlierRelease(t *testing.T) {
	g := NewWithT(t)
	fields := placeRequestFields{Seq: 7, Service: "llm", Team: "schools", Regions: []string{"north"}}
	raw, err := cbor.Marshal(&placeRequest{placeRequestFields: fields})
	g.Expect(err).NotTo(HaveOccurred())
	var earlier placeRequestFields
	g.Expect(cbor.Unmarshal(raw, &earlier)).To(Succeed())
	g.Expect(earlier).To(Equal(fields))
	var received placeRequest
	g.Expect(cbor.Unmarshal(raw, &received)).To(Succeed())
	g.Expect(received).To(Equal(placeRequest{placeRequestFields: fields}))
}

// Guards against a home that places a broken stream without regard to its version.
func TestPlaceRequestCarriesTheVersion(t *testing.T) {
	g := NewWithT(t)
	sent := placeRequest{placeRequestFields: placeRequestFields{Seq: 7, Service: "llm"}, Version: "v1.1"}
	raw, err := cbor.Marshal(&sent)
	g.Expect(err).NotTo(HaveOccurred())
	var received placeRequest
	g.Expect(cbor.Unmarshal(raw, &received)).To(Succeed())
	g.Expect(received).To(Equal(sent))
	g.Expect(received.toDispatch(1, "a").Version).To(Equal("v1.1"))
}

// Guards against asking a group that has no upstream at which a broken stream can go on.
func TestBrokenStreamIsPlacedInAGroupWithItsVersion(t *testing.T) {
	g := NewWithT(t)
	const groups = 4
	var ready []*registry.Upstream
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		ready = append(ready, &registry.Upstream{ID: id, Version: "v2"})
	}
	ready[3].Version, ready[7].Version = "v1", "v1"
	want := []int{groupOfUpstream(ready[3].ID, groups), groupOfUpstream(ready[7].ID, groups)}
	for index := range groups {
		g.Expect(want).To(ContainElement(groupWithVersion(ready, &dispatch.Request{Version: "v1"}, groups, index)))
		g.Expect(groupWithVersion(ready, &dispatch.Request{Version: "v1", Avoid: []string{ready[3].ID}}, groups, index)).To(Equal(want[1]))
		g.Expect(groupWithVersion(ready, &dispatch.Request{Version: "v3"}, groups, index)).To(Equal(index))
	}
}
