package ctl_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/ctl"
)

// Guards against Wait succeeding with too few ready routers or failing without naming the others.
func TestWaitEndsOnceRoutersAreReady(t *testing.T) {
	g := NewWithT(t)
	unready := healthyRouter()
	unready.ready = false
	urls := startRouters(t, healthyRouter(), unready, healthyRouter())
	client := ctl.NewClient(append(urls, "http://127.0.0.1:1"), "")
	var out bytes.Buffer
	g.Expect(client.Wait(&out, true, 2, time.Second)).To(Succeed())
	g.Expect(out.String()).To(Equal("2 of 4 routers are ready\n"))
	err := client.Wait(&out, true, 3, 300*time.Millisecond)
	g.Expect(err).To(MatchError(ContainSubstring(urls[1] + " is not ready")))
	g.Expect(err).To(MatchError(ContainSubstring("http://127.0.0.1:1 gave no answer")))
	g.Expect(err).NotTo(MatchError(ContainSubstring(urls[0])))
	g.Expect(client.Wait(&out, true, 5, time.Second)).To(MatchError(ContainSubstring("must be 1 to 4")))
	g.Expect(client.Wait(&out, true, 0, time.Second)).NotTo(Succeed())
}
