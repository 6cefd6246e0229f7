package capacity_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/capacity"
)

// The page must show the figures of the run that stands beside it.
func TestPageHoldsTheLastRunsFigures(t *testing.T) {
	g := NewWithT(t)
	r, err := capacity.Read("../docs/capacity.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Check("../docs/CAPACITY.md")).To(Succeed())
}
