package quarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// Guards against upstreams counting as broken too early, for too long or after they have answered.
func TestUpstreamIsBrokenUntilItAnswers(t *testing.T) {
	g := NewWithT(t)
	var b quarantine.BrokenUpstreams
	g.Expect(b.BrokenBefore(start, 1)).To(BeFalse())
	g.Expect(b.Record(start, 1)).To(BeTrue())
	g.Expect(b.Record(start, 1)).To(BeFalse())
	g.Expect(b.BrokenBefore(start, 1)).To(BeFalse())
	g.Expect(b.BrokenBefore(start+1, 1)).To(BeTrue())
	g.Expect(b.BrokenBefore(start+quarantine.BrokenTTL, 1)).To(BeFalse())
	g.Expect(b.Record(start+quarantine.BrokenTTL, 1)).To(BeTrue())
	b.RecordSuccess(1)
	g.Expect(b.BrokenBefore(start+quarantine.BrokenTTL+1, 1)).To(BeFalse())
}
