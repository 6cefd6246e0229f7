package gateway_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against a Load header that isn't reported to the home, or that makes a request fail.
func TestStatedLoadIsReportedWithTheFirstByte(t *testing.T) {
	for value, want := range map[string]dispatch.LoadReport{
		"12,1,48,250":          {Running: 12, Waiting: 1, Slots: 48, Slowdown: 2.5},
		"12,1,48":              {Running: 12, Waiting: 1, Slots: 48},
		"-1,\x80,9e9,99999999": {},
	} {
		g := NewWithT(t)
		r := newHarness(t, map[string]script{"u1": status(200, "X-Seal: s\r\nX-Load: "+value+"\r\n")})
		resp, _, err := r.call("/safe/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(200))
		g.Expect(r.placer.statedLoads()).To(HaveLen(1))
		got := r.placer.statedLoads()[0]
		got.Age = 0
		g.Expect(got).To(Equal(want), value)
	}
}
