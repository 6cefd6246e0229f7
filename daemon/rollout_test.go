package daemon_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/standin"
)

// versions returns the bundle version in force at each running router.
func (f *fleet) versions() []uint64 {
	var all []uint64
	for _, m := range f.routers {
		select {
		case <-m.done:
		default:
			all = append(all, m.dump().InForce.Version)
		}
	}
	return all
}

var _ = Describe("a bundle", func() {
	// Only two of the three routers watch the platform; the third must receive the new version
	// from its peers.
	It("comes in force everywhere, also at routers that don't watch", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.startRouters(3)
		b := f.bundle
		b.Version = 2
		f.publishBundle(b)
		Eventually(f.versions, eventuallyTimeout, "20ms").Should(HaveEach(uint64(2)))
	})

	// The platform returns to an older version, and a router restarts without state. No
	// router must apply the older version.
	It("never reverts beside a stale platform", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.bundle.Version = 1
		f.startRouters(3)
		b := f.bundle
		b.Version = 2
		f.publishBundle(b)
		Eventually(f.versions, eventuallyTimeout, "20ms").Should(HaveEach(uint64(2)))
		f.publishBundle(f.bundle)
		f.routers[0].stop()
		fresh := f.addRouter("vm1")
		f.publishVMs(f.routers[1], f.routers[2], fresh)
		f.awaitReady(fresh, 3)
		Consistently(f.versions, "500ms", "20ms").Should(HaveEach(uint64(2)))
	})

	// The platform's bundle is unreadable when a router restarts. The router must get the
	// bundle from its peers and serve.
	It("reaches a restarted router while the platform's bundle can't be read", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.startRouters(3)
		f.platform.Publish([]byte("not a bundle"))
		f.routers[0].stop()
		fresh := f.addRouter("vm1")
		f.publishVMs(f.routers[1], f.routers[2], fresh)
		f.awaitReady(fresh, 3)
		Expect(fresh.requestCompletion("x", 2, false).status).To(Equal(200))
	})

	// A published bundle was modified after it was signed. Like one signed by a single operator, it
	// must be refused and logged, and the version in force must stay.
	It("is refused when it was tampered with", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.startRouters(1)
		b := f.bundle
		b.Version = 2
		f.platform.Publish([]byte(strings.Replace(string(f.signed(b)), "schools", "skoolzz", 1)))
		Eventually(f.routers[0].log.String, eventuallyTimeout).Should(ContainSubstring("bundle refused"))
		Expect(f.versions()).To(HaveEach(uint64(1)))
	})

	// The same version is published with different content. It must be refused, and the
	// conflict must be visible to operators.
	It("is refused when its version was used for another content", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.startRouters(1)
		b := f.bundle
		b.Limits.BodyBytes = 9
		f.publishBundle(b)
		Eventually(func() int { return len(f.routers[0].dump().Conflicts) }, eventuallyTimeout).Should(Equal(1))
		Expect(f.routers[0].requestCompletion("x", 2, false).status).To(Equal(200))
	})

	// Teams, shares and upstreams change while a stream runs, and the stream's own upstream is
	// removed. The stream must still complete.
	It("cuts no running request when it changes", func() {
		f := newFleet()
		f.addEngine(standin.EngineConfig{Slots: 2, TimePerToken: 20 * time.Millisecond}, true)
		f.startRouters(2)
		got := make(chan answer, 1)
		go func() { got <- f.routers[0].requestCompletion("long", 40, true) }()
		Eventually(func() int { return f.routers[0].dump().Scheduler.Running }, eventuallyTimeout).Should(Equal(1))
		b := f.bundle
		b.Version, b.Upstreams = 2, nil
		f.publishBundle(b)
		Eventually(f.versions, eventuallyTimeout, "20ms").Should(HaveEach(uint64(2)))
		answer, complete := text((<-got).body)
		Expect(complete).To(BeTrue())
		Expect(answer).To(Equal(expectedText("long", 40)))
	})
})

var _ = Describe("a graceful shutdown", func() {
	// Each router in turn is shut down and replaced while callers send streams to the routers that
	// are ready. No stream must be cut or lost.
	It("cuts nothing in a rolling restart under load", func() {
		f := newFleet()
		f.addEngine(standin.EngineConfig{Slots: 8, TimePerToken: 10 * time.Millisecond}, true)
		f.addEngine(standin.EngineConfig{Slots: 8, TimePerToken: 10 * time.Millisecond}, true)
		f.startRouters(3)
		var mu sync.Mutex
		current := append([]*member{}, f.routers...)
		pick := func(i int) *member {
			mu.Lock()
			defer mu.Unlock()
			return current[i%len(current)]
		}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		served := 0
		for i := range 6 {
			wg.Go(func() {
				defer GinkgoRecover()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					prompt := fmt.Sprintf("round %d of %d", n, i)
					m := pick(n)
					got := m.requestCompletion(prompt, 10, true)
					if got.err != nil && got.status == 0 {
						continue // connection refused: the load balancer's list is not yet up to date
					}
					if got.status != 200 {
						Expect(got.outcome).To(Equal("not-run"), got.body)
						continue
					}
					answer, complete := text(got.body)
					Expect(complete).To(BeTrue(), "cut by the shutdown of %s: %q", m.name, got.body)
					Expect(answer).To(Equal(expectedText(prompt, 10)))
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		for i := range 3 {
			old := pick(0)
			mu.Lock()
			current = current[1:]
			mu.Unlock()
			old.daemon.Drain()
			Eventually(old.done, eventuallyTimeout).Should(BeClosed())
			Expect(old.log.String()).To(ContainSubstring("nothing was cut"))
			fresh := f.addRouter(fmt.Sprintf("vm%d", i+1))
			mu.Lock()
			alive := append(append([]*member{}, current...), fresh)
			mu.Unlock()
			f.publishVMs(alive...)
			f.awaitReady(fresh, 3)
			mu.Lock()
			current = alive
			mu.Unlock()
		}
		close(stop)
		wg.Wait()
		Expect(served).To(BeNumerically(">", 10), "the load was too small to show anything")
	})
})
