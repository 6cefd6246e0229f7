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
	// Two of three routers watch the platform. A new version is in force at all.
	It("comes in force everywhere, also at routers that don't watch", func() {
		f := newFleet()
		f.engine(fast, true)
		f.start(3)
		b := f.bundle
		b.Version = 2
		f.publish(b)
		Eventually(f.versions, patience, "20ms").Should(HaveEach(uint64(2)))
	})

	// The platform goes back to an older version, and a router restarts without
	// memory beside it. Nobody acts by the older one.
	It("never reverts beside a stale platform", func() {
		f := newFleet()
		f.engine(fast, true)
		f.bundle.Version = 1
		f.start(3)
		b := f.bundle
		b.Version = 2
		f.publish(b)
		Eventually(f.versions, patience, "20ms").Should(HaveEach(uint64(2)))
		f.publish(f.bundle)
		f.routers[0].stop()
		fresh := f.add("vm1")
		f.list(f.routers[1], f.routers[2], fresh)
		f.awaitReady(fresh, 3)
		Consistently(f.versions, "500ms", "20ms").Should(HaveEach(uint64(2)))
	})

	// The platform is down when a router restarts: it learns the version from its
	// peers and serves.
	It("reaches a restarted router while the platform's bundle can't be read", func() {
		f := newFleet()
		f.engine(fast, true)
		f.start(3)
		f.platform.Publish([]byte("not a bundle"))
		f.routers[0].stop()
		fresh := f.add("vm1")
		f.list(f.routers[1], f.routers[2], fresh)
		f.awaitReady(fresh, 3)
		Expect(fresh.plan("x", 2, false).status).To(Equal(200))
	})

	// Somebody changes a published bundle, or one operator signs alone: refused
	// and logged, and the version in force goes on.
	It("is refused when it was tampered with", func() {
		f := newFleet()
		f.engine(fast, true)
		f.start(1)
		b := f.bundle
		b.Version = 2
		f.platform.Publish([]byte(strings.Replace(string(f.signed(b)), "schools", "skoolzz", 1)))
		Eventually(f.routers[0].log.String, patience).Should(ContainSubstring("bundle refused"))
		Expect(f.versions()).To(HaveEach(uint64(1)))
	})

	// The same version is published with another content: refused, and operators
	// see the conflict.
	It("is refused when its version was used for another content", func() {
		f := newFleet()
		f.engine(fast, true)
		f.start(1)
		b := f.bundle
		b.Limits.BodyBytes = 9
		f.publish(b)
		Eventually(func() int { return len(f.routers[0].dump().Conflicts) }, patience).Should(Equal(1))
		Expect(f.routers[0].plan("x", 2, false).status).To(Equal(200))
	})

	// Teams, shares and upstreams change while a stream runs, even its own
	// upstream goes: the stream ends whole.
	It("cuts no running request when it changes", func() {
		f := newFleet()
		f.engine(standin.EngineConfig{Slots: 2, TimePerToken: 20 * time.Millisecond}, true)
		f.start(2)
		got := make(chan answer, 1)
		go func() { got <- f.routers[0].plan("long", 40, true) }()
		Eventually(func() int { return f.routers[0].dump().Scheduler.Running }, patience).Should(Equal(1))
		b := f.bundle
		b.Version, b.Upstreams = 2, nil
		f.publish(b)
		Eventually(f.versions, patience, "20ms").Should(HaveEach(uint64(2)))
		answer, whole := text((<-got).body)
		Expect(whole).To(BeTrue())
		Expect(answer).To(Equal(want("long", 40)))
	})
})

var _ = Describe("a graceful shutdown", func() {
	// Every router is shut down and replaced in turn under a load of streams whose
	// callers go to whichever is ready. No stream is cut and none is lost.
	It("cuts nothing in a rolling restart under load", func() {
		f := newFleet()
		f.engine(standin.EngineConfig{Slots: 8, TimePerToken: 10 * time.Millisecond}, true)
		f.engine(standin.EngineConfig{Slots: 8, TimePerToken: 10 * time.Millisecond}, true)
		f.start(3)
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
					got := m.plan(prompt, 10, true)
					if got.err != nil && got.status == 0 {
						continue // refused to connect: the balancer's list lags
					}
					if got.status != 200 {
						Expect(got.outcome).To(Equal("not-run"), got.body)
						continue
					}
					answer, whole := text(got.body)
					Expect(whole).To(BeTrue(), "cut by the shutdown of %s: %q", m.name, got.body)
					Expect(answer).To(Equal(want(prompt, 10)))
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
			Eventually(old.done, patience).Should(BeClosed())
			Expect(old.log.String()).To(ContainSubstring("nothing was cut"))
			fresh := f.add(fmt.Sprintf("vm%d", i+1))
			mu.Lock()
			alive := append(append([]*member{}, current...), fresh)
			mu.Unlock()
			f.list(alive...)
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
