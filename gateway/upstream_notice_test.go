package gateway_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against log lines that omit the upstream's notice or repeat it for a later response.
func TestLogIncludesUpstreamNotice(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": status(503, "X-Not-Run: 1\r\nX-Leaving: 1\r\nRetry-After: 2.5\r\n"), "u2": ok("answer")})
	_, _, err := r.call("/safe/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.eventLines("attempt")).To(HaveLen(1))
	g.Expect(r.eventLines("attempt")[0]).To(HaveKeyWithValue("upstream_leaving", true))
	g.Expect(r.eventLines("attempt")[0]).To(HaveKeyWithValue("upstream_rest_ms", 2500.0))
	g.Expect(r.eventLines("served")[0]).NotTo(HaveKey("upstream_rest_ms"))
}
