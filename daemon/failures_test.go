package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/standin"
)

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

var _ = Describe("the whole answer", func() {
	// Guards against duplicated or missing tokens when the engine's connection breaks, here
	// after every three events. The router must resume the stream after the last complete
	// event that it has relayed, so that the caller receives one stream with each token once.
	It("comes without a doubled or missing token over broken connections", func() {
		f := newFleet()
		cfg := fastEngine
		cfg.DisconnectAfterEvents = 3
		f.addEngine(cfg, true)
		f.startRouters(1)
		got := f.routers[0].requestCompletion("a round", 10, true)
		Expect(got.err).NotTo(HaveOccurred())
		answer, complete := text(got.body)
		Expect(complete).To(BeTrue())
		Expect(answer).To(Equal(expectedText("a round", 10)))
	})

	// Guards against events that are lost or doubled when a response without length or chunks ends inside one.
	for name, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		It("comes whole over connections that are closed inside an event, "+name, func() {
			f := newFleet()
			cfg := fastEngine
			cfg.DisconnectAfterEvents, cfg.CloseInEvent, cfg.LineEnd = 3, true, lineEnd
			f.addEngine(cfg, true)
			f.startRouters(1)
			got := f.routers[0].requestCompletion("a round", 10, true)
			Expect(got.err).NotTo(HaveOccurred())
			answer, complete := text(strings.ReplaceAll(strings.ReplaceAll(got.body, "\r\n", "\n"), "\r", "\n"))
			Expect(complete).To(BeTrue())
			Expect(answer).To(Equal(expectedText("a round", 10)))
		})
	}

	// Guards against a truncated answer that looks complete. The engine can't resume a stream and
	// its connection breaks in the middle of one; the caller must receive the events that
	// arrived, followed by an error event.
	It("ends with an error event where the engine can't resume", func() {
		f := newFleet()
		cfg := fastEngine
		cfg.DisconnectAfterEvents = 3
		f.addEngine(cfg, false)
		f.startRouters(1)
		got := f.routers[0].requestCompletion("a round", 10, true)
		answer, complete := text(got.body)
		Expect(complete).To(BeFalse())
		Expect(answer).To(Equal(expectedText("a round", 3)))
		Expect(got.body).To(ContainSubstring("event: error"))
		Expect(got.body).To(ContainSubstring(`"outcome":"unknown"`))
	})

	// A device between router and engine, such as a NAT, may drop the state of a connection: it
	// stays open but carries no more data. The router must detect this by the idle timeout and
	// resume the stream on a new connection; the caller only sees a delay.
	It("comes whole when the engine's connection goes silent", func() {
		f := newFleet()
		f.tuneConfig = func(c *router.Config) { c.Upstream.IdleTimeout = 300 * time.Millisecond }
		e := standin.NewEngine(standin.EngineConfig{Slots: 4, TimePerToken: 20 * time.Millisecond})
		r := newRelay(serve(e.Handler()))
		f.addUpstream(bundle.Upstream{Kind: bundle.Engine, Pool: "planning", Resumable: true, Slots: 4, Address: r.address()})
		f.startRouters(1)
		time.AfterFunc(100*time.Millisecond, r.silence)
		got := f.routers[0].requestCompletion("a round", 20, true)
		answer, complete := text(got.body)
		Expect(complete).To(BeTrue(), got.body)
		Expect(answer).To(Equal(expectedText("a round", 20)))
	})

	// Guards against mixed-up responses when many concurrent requests share reused
	// connections: each caller must get the answer to its own request.
	It("goes to the caller that asked", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.addEngine(fastEngine, true)
		f.startRouters(2)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("round %d", i)
				got := f.routers[i%2].requestCompletion(prompt, 5, true)
				answer, complete := text(got.body)
				Expect(complete).To(BeTrue())
				Expect(answer).To(Equal(expectedText(prompt, 5)))
			})
		}
		wg.Wait()
	})

	// A caller disconnects in the middle of a stream. The router must cancel the request at the
	// engine, so that its slot is immediately free for the next request.
	It("is cancelled at the engine when the caller leaves", func() {
		f := newFleet()
		f.addEngine(standin.EngineConfig{Slots: 1, TimePerToken: time.Hour}, true)
		f.startRouters(1)
		client := &http.Client{Timeout: 300 * time.Millisecond}
		req, err := http.NewRequest(http.MethodPost, f.routers[0].url+"/v1/completions", jsonBody(`{"model":"planner","prompt":"x","stream":true}`))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer schools-key")
		resp, err := client.Do(req)
		if err == nil {
			_, _ = readAll(resp.Body)
		}
		Eventually(func() int { return f.routers[0].dump().Scheduler.Running }, eventuallyTimeout).Should(BeZero())
		got := make(chan answer, 1)
		go func() { got <- f.routers[0].requestCompletion("next", 1, true) }()
		Eventually(func() int { return f.routers[0].dump().Scheduler.Running }, eventuallyTimeout).Should(Equal(1))
		Consistently(func() int { return f.routers[0].dump().Scheduler.Pools[0].Upstreams[0].Queued }, "700ms").Should(BeZero())
	})
})

var _ = Describe("not-run", func() {
	// No upstream can be reached, so the request is not sent. The caller must receive the
	// outcome not-run and a Retry-After header.
	It("is returned when nothing could be sent", func() {
		f := newFleet()
		f.addUpstream(bundle.Upstream{Kind: bundle.Service, Pool: "bookings", Slots: 4, Address: refusedAddress()})
		f.startRouters(1)
		got := f.routers[0].postBooking(newIdempotencyKey())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.outcome).To(Equal("not-run"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The service runs a booking and its answer is lost. The outcome must not be not-run, and the
	// request must not run again, although net/http itself may resend one with an Idempotency-Key.
	It("is not returned, and nothing is sent again, when the answer is lost", func() {
		f := newFleet()
		s := f.addService(0)
		s.DisconnectAfterRuns = 2
		f.startRouters(1)
		Expect(f.routers[0].postBooking(newIdempotencyKey()).status).To(Equal(http.StatusCreated))
		key := newIdempotencyKey()
		got := f.routers[0].postBooking(key)
		Expect(got.outcome).To(Equal("unknown"))
		Expect(s.Runs()[key]).To(Equal(1))
		Expect(f.routers[0].postBooking(key).outcome).To(Equal("unknown"), "and stays unknown")
		Expect(s.Runs()[key]).To(Equal(1))
	})
})

var _ = Describe("a request that must not be repeated", func() {
	// A client sends the same request to several routers at once. The service must run it at most
	// once, and each caller must get the answer of that run, or the outcome unknown.
	It("runs once when it reaches all routers at once", func() {
		f := newFleet()
		s := f.addService(50 * time.Millisecond)
		f.startRouters(3)
		key := newIdempotencyKey()
		var replayed atomic.Int32
		var wg sync.WaitGroup
		for _, m := range f.routers {
			for range 3 {
				wg.Go(func() {
					defer GinkgoRecover()
					got := m.postBooking(key)
					if got.status != http.StatusCreated {
						Expect(got.outcome).To(Equal("unknown"), got.body)
						return
					}
					Expect(got.body).To(ContainSubstring(`"run":1`))
					if got.header.Get("Aspenswitch-Replayed") != "" {
						replayed.Add(1)
					}
				})
			}
		}
		wg.Wait()
		Expect(s.Runs()[key]).To(BeNumerically("<=", 1))
		got := f.routers[2].postBooking(key)
		Expect(s.Runs()[key]).To(Equal(1))
		Expect(got.status).To(Equal(http.StatusCreated))
	})

	// The router that ran a booking is killed and its recorded answer is lost. A repeat at
	// another router must get the outcome unknown and must not run again.
	It("is unknown, and never run again, when its first router is gone", func() {
		f := newFleet()
		s := f.addService(0)
		f.startRouters(3)
		key := newIdempotencyKey()
		Expect(f.routers[0].postBooking(key).status).To(Equal(http.StatusCreated))
		f.routers[0].stop()
		for _, m := range f.routers[1:] {
			Expect(m.postBooking(key).outcome).To(Equal("unknown"))
		}
		Expect(s.Runs()[key]).To(Equal(1))
		Eventually(func() int { return f.routers[1].postBooking(newIdempotencyKey()).status }, eventuallyTimeout).Should(Equal(http.StatusCreated), "new keys still work")
	})

	// The caller disconnects while its booking runs, and repeats the request. The run must
	// continue, and the repeat must get its answer.
	It("keeps its answer for a caller that hung up and comes back", func() {
		f := newFleet()
		s := f.addService(400 * time.Millisecond)
		f.startRouters(2)
		key := newIdempotencyKey()
		client := &http.Client{Timeout: 150 * time.Millisecond}
		req, err := http.NewRequest(http.MethodPost, f.routers[0].url+"/services/booking/bookings", jsonBody("a pitch"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer vans-key")
		req.Header.Set("Idempotency-Key", key)
		_, err = client.Do(req)
		Expect(err).To(HaveOccurred())
		got := f.routers[1].postBooking(key)
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.header.Get("Aspenswitch-Replayed")).To(Equal("true"))
		Expect(s.Runs()[key]).To(Equal(1))
	})

	// A router that can't reach most of the fleet can't determine whether other routers run the
	// key, so it must not run it.
	It("does not run at a router that is cut off from most others", func() {
		f := newFleet()
		s := f.addService(0)
		f.startRouters(3)
		f.routers[1].stop()
		f.routers[2].stop()
		got := f.routers[0].postBooking(newIdempotencyKey())
		Expect(got.outcome).To(BeElementOf("unknown", "not-run"))
		Expect(s.Runs()).To(BeEmpty())
	})

	// All routers that voted for a key restart and lose their votes, and the request is repeated.
	// Routers must not vote for a key that is older than their own start.
	It("does not run again after every router was replaced", func() {
		f := newFleet()
		s := f.addService(0)
		f.startRouters(3)
		key := newIdempotencyKey()
		Expect(f.routers[0].postBooking(key).status).To(Equal(http.StatusCreated))
		for i, m := range f.routers[:3] {
			m.stop()
			f.addRouter(fmt.Sprintf("vm%d", i+1))
		}
		fresh := f.routers[3:]
		f.publishVMs(fresh...)
		for _, m := range fresh {
			f.awaitReady(m, 3)
		}
		for _, m := range fresh {
			Expect(m.postBooking(key).outcome).To(Equal("unknown"))
		}
		Expect(s.Runs()[key]).To(Equal(1))
		Expect(fresh[0].postBooking(newIdempotencyKey()).status).To(Equal(http.StatusCreated))
	})
})
