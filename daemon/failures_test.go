package daemon_test

import (
	"fmt"
	"net/http"
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

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

var _ = Describe("the whole answer", func() {
	// The engine's connection breaks after every three events. The caller sees one
	// stream, with every token once: the router resumes it where the answer stands.
	It("comes without a doubled or missing token over broken connections", func() {
		f := newFleet()
		cfg := fast
		cfg.DisconnectAfterEvents = 3
		f.engine(cfg, true)
		f.start(1)
		got := f.routers[0].plan("a round", 10, true)
		Expect(got.err).NotTo(HaveOccurred())
		answer, whole := text(got.body)
		Expect(whole).To(BeTrue())
		Expect(answer).To(Equal(want("a round", 10)))
	})

	// The engine can't resume, and its connection breaks in mid answer. The caller
	// gets what came and then a clear error, never a short answer that looks whole.
	It("ends with an error event where the engine can't resume", func() {
		f := newFleet()
		cfg := fast
		cfg.DisconnectAfterEvents = 3
		f.engine(cfg, false)
		f.start(1)
		got := f.routers[0].plan("a round", 10, true)
		answer, whole := text(got.body)
		Expect(whole).To(BeFalse())
		Expect(answer).To(Equal(want("a round", 3)))
		Expect(got.body).To(ContainSubstring("event: error"))
		Expect(got.body).To(ContainSubstring(`"outcome":"unknown"`))
	})

	// Something between router and engine loses track of the connection: it stays
	// open and carries nothing more. The router notices the silence and resumes on
	// a new connection; the caller only sees a pause.
	It("comes whole when the engine's connection goes silent", func() {
		f := newFleet()
		f.tune = func(c *router.Config) { c.Upstream.IdleTimeout = 300 * time.Millisecond }
		e := standin.NewEngine(standin.EngineConfig{Slots: 4, TimePerToken: 20 * time.Millisecond})
		r := newRelay(serve(e.Handler()))
		f.upstream(bundle.Upstream{Kind: bundle.Engine, Pool: "planning", Resumable: true, Slots: 4, Address: r.address()})
		f.start(1)
		time.AfterFunc(100*time.Millisecond, r.silence)
		got := f.routers[0].plan("a round", 20, true)
		answer, whole := text(got.body)
		Expect(whole).To(BeTrue(), got.body)
		Expect(answer).To(Equal(want("a round", 20)))
	})

	// Many callers at once, streams and whole answers over reused connections:
	// each gets the answer to its own request.
	It("goes to the caller that asked", func() {
		f := newFleet()
		f.engine(fast, true)
		f.engine(fast, true)
		f.start(2)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("round %d", i)
				got := f.routers[i%2].plan(prompt, 5, true)
				answer, whole := text(got.body)
				Expect(whole).To(BeTrue())
				Expect(answer).To(Equal(want(prompt, 5)))
			})
		}
		wg.Wait()
	})

	// A caller hangs up in mid stream. The engine must not go on for nobody: its
	// slot is free for the next request at once.
	It("is cancelled at the engine when the caller leaves", func() {
		f := newFleet()
		f.engine(standin.EngineConfig{Slots: 1, TimePerToken: time.Hour}, true)
		f.start(1)
		client := &http.Client{Timeout: 300 * time.Millisecond}
		req, err := http.NewRequest(http.MethodPost, f.routers[0].url+"/v1/completions", jsonBody(`{"model":"planner","prompt":"x","stream":true}`))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer schools-key")
		resp, err := client.Do(req)
		if err == nil {
			_, _ = readAll(resp.Body)
		}
		Eventually(func() int { return f.routers[0].dump().Scheduler.Running }, patience).Should(BeZero())
		got := make(chan answer, 1)
		go func() { got <- f.routers[0].plan("next", 1, true) }()
		Eventually(func() int { return f.routers[0].dump().Scheduler.Running }, patience).Should(Equal(1))
		Consistently(func() int { return f.routers[0].dump().Scheduler.Pools[0].Upstreams[0].Queued }, "700ms").Should(BeZero())
	})
})

var _ = Describe("not-run", func() {
	// No upstream can be reached. The request did not leave, so the caller is told
	// not-run, and when to come back.
	It("is told when nothing could be sent", func() {
		f := newFleet()
		f.upstream(bundle.Upstream{Kind: bundle.Service, Pool: "bookings", Slots: 4, Address: closedAddress()})
		f.start(1)
		got := f.routers[0].book(newKey())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.outcome).To(Equal("not-run"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The service runs a booking and its answer is lost. That is not not-run, and
	// net/http's own retry, which an Idempotency-Key invites, must not run it again.
	It("is not told, and nothing is sent again, when the answer is lost", func() {
		f := newFleet()
		s := f.service(0)
		s.DisconnectAfterRuns = 2
		f.start(1)
		Expect(f.routers[0].book(newKey()).status).To(Equal(http.StatusCreated))
		key := newKey()
		got := f.routers[0].book(key)
		Expect(got.outcome).To(Equal("unknown"))
		Expect(s.Runs()[key]).To(Equal(1))
		Expect(f.routers[0].book(key).outcome).To(Equal("unknown"), "and stays unknown")
		Expect(s.Runs()[key]).To(Equal(1))
	})
})

var _ = Describe("a request that must not be repeated", func() {
	// A handset sends one stop confirmation to two routers at once. The service
	// runs it once, and both get its answer.
	It("runs once when it reaches all routers at once", func() {
		f := newFleet()
		s := f.service(50 * time.Millisecond)
		f.start(3)
		key := newKey()
		var replayed atomic.Int32
		var wg sync.WaitGroup
		for _, m := range f.routers {
			for range 3 {
				wg.Go(func() {
					defer GinkgoRecover()
					got := m.book(key)
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
		got := f.routers[2].book(key)
		Expect(s.Runs()[key]).To(Equal(1))
		Expect(got.status).To(Equal(http.StatusCreated))
	})

	// The router that ran a booking is killed with the answer. A repeat at another
	// router can't learn it; it is told unknown, and nothing runs again.
	It("is unknown, and never run again, when its first router is gone", func() {
		f := newFleet()
		s := f.service(0)
		f.start(3)
		key := newKey()
		Expect(f.routers[0].book(key).status).To(Equal(http.StatusCreated))
		f.routers[0].stop()
		for _, m := range f.routers[1:] {
			Expect(m.book(key).outcome).To(Equal("unknown"))
		}
		Expect(s.Runs()[key]).To(Equal(1))
		Eventually(func() int { return f.routers[1].book(newKey()).status }, patience).Should(Equal(http.StatusCreated), "new keys go on")
	})

	// The caller hangs up while its booking runs, and repeats it. The run went on,
	// and the repeat gets its answer.
	It("keeps its answer for a caller that hung up and comes back", func() {
		f := newFleet()
		s := f.service(400 * time.Millisecond)
		f.start(2)
		key := newKey()
		client := &http.Client{Timeout: 150 * time.Millisecond}
		req, err := http.NewRequest(http.MethodPost, f.routers[0].url+"/services/booking/bookings", jsonBody("a pitch"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer vans-key")
		req.Header.Set("Idempotency-Key", key)
		_, err = client.Do(req)
		Expect(err).To(HaveOccurred())
		got := f.routers[1].book(key)
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.header.Get("Aspenswitch-Replayed")).To(Equal("true"))
		Expect(s.Runs()[key]).To(Equal(1))
	})

	// Most of the fleet can't be reached: a router that is cut off can't know
	// whether the others run the key. It must not run it.
	It("does not run at a router that is cut off from most others", func() {
		f := newFleet()
		s := f.service(0)
		f.start(3)
		f.routers[1].stop()
		f.routers[2].stop()
		got := f.routers[0].book(newKey())
		Expect(got.outcome).To(BeElementOf("unknown", "not-run"))
		Expect(s.Runs()).To(BeEmpty())
	})

	// The only voters that were asked restart without memory, and the key comes
	// again. They must not vote twice for a key that is older than they are.
	It("does not run again after every router was replaced", func() {
		f := newFleet()
		s := f.service(0)
		f.start(3)
		key := newKey()
		Expect(f.routers[0].book(key).status).To(Equal(http.StatusCreated))
		for i, m := range f.routers[:3] {
			m.stop()
			f.add(fmt.Sprintf("vm%d", i+1))
		}
		fresh := f.routers[3:]
		f.list(fresh...)
		for _, m := range fresh {
			f.awaitReady(m, 3)
		}
		for _, m := range fresh {
			Expect(m.book(key).outcome).To(Equal("unknown"))
		}
		Expect(s.Runs()[key]).To(Equal(1))
		Expect(fresh[0].book(newKey()).status).To(Equal(http.StatusCreated))
	})
})
