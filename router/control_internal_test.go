package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/bundle"
)

// Guards against new requests for upstreams in a failure domain that the bundle
// evacuates.
func TestEvacuatedUpstreamsTakeNoWork(t *testing.T) {
	g := NewWithT(t)
	s := schedSettings(&bundle.Bundle{
		Pools:     []bundle.Pool{{ID: 1, Name: "planning"}},
		Upstreams: []bundle.Upstream{{ID: 1, Pool: "planning", FailureDomain: "north"}, {ID: 2, Pool: "planning", FailureDomain: "south"}},
		Evacuated: []string{"north"},
	})
	g.Expect(s.Upstreams[0].Draining).To(BeTrue())
	g.Expect(s.Upstreams[1].Draining).To(BeFalse())
}
