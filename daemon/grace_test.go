package daemon_test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/jsonc"
	"github.com/aspenswitch/aspenswitch/settings"
)

var _ = Describe("the end of the shutdown grace", func() {
	// Guards against a request that still runs then and whose connection is closed without an answer.
	It("answers the requests that are aborted", func() {
		f := newFleet()
		f.changeSettings = func(s *settings.Settings) { s.ShutdownGrace = jsonc.Duration(500 * time.Millisecond) }
		running := make(chan struct{}, 1)
		service := http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			running <- struct{}{}
			<-req.Context().Done()
		})
		f.addUpstream(bundle.Upstream{Kind: bundle.Service, Pool: "bookings", Slots: 4, Address: serve(service)})
		f.startRouters(1)
		answers := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			answers <- f.routers[0].postBooking(newIdempotencyKey())
		}()
		Eventually(running, eventuallyTimeout).Should(Receive())
		f.routers[0].daemon.Drain()
		var got answer
		Eventually(answers, eventuallyTimeout).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
		Expect(got.outcome).To(Equal("unknown"))
		Expect(got.body).To(ContainSubstring("stopping"))
		Eventually(f.routers[0].done, eventuallyTimeout).Should(BeClosed())
	})
})
