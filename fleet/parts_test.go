package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/fleet"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

var badPart, sharedPart = quarantine.NewPartKey(0xbad), quarantine.NewPartKey(0x5a)

// crashWithParts reports consecutive crashes of different upstreams under prompts with both parts, no
// two of one content. The routers take turns.
func crashWithParts(all []*member, first, upstreams int) {
	for i := range upstreams {
		time.Sleep(3 * timeToCrash)
		content := quarantine.NewContentKey("schools", "POST", "h", fmt.Sprint("/", first+i), nil)
		all[i%len(all)].node.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{content, sharedPart, badPart}, Team: "schools"}, dispatch.Incarnation{ID: fmt.Sprint("p", first+i)}, timeToCrash)
	}
}

// startAnswers reports every 50 ms, for a duration, that an answer to a prompt with the shared part has
// started at one of the routers.
func startAnswers(all []*member, duration time.Duration) {
	for i, until := 0, time.Now().Add(duration); time.Now().Before(until); i++ {
		all[i%len(all)].node.ReportStarted([]dispatch.Part{{ID: sharedPart.Hash}}, dispatch.Incarnation{ID: "answering"})
		time.Sleep(timeToCrash)
	}
}

// Guards against other routers sending prompts with a part that crashes upstreams, and against refusing
// the prompts that share another part with them.
func TestPartIsQuarantinedAtAllRoutersAndNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		go startAnswers(all, 5*time.Second)
		crashWithParts(all, 0, 5)
		time.Sleep(propagationTime)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 7}))
		g.Expect(countStatuses(all, sharedPart)).To(Equal(map[quarantine.Status]int{quarantine.Normal: 7}))
		time.Sleep(5 * time.Second)
	})
}

// Guards against refusing a shared part that was quarantined beside the crashing one once its answers
// start again, at routers that saw none of the crashes too.
func TestWrongQuarantineOfAPartEndsWithTheNextAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		crashWithParts(all[:2], 0, 5)
		time.Sleep(propagationTime)
		g.Expect(countStatuses(all, sharedPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 7}), "nothing has shown that it is harmless")
		all[5].node.ReportStarted([]dispatch.Part{{ID: sharedPart.Hash}}, dispatch.Incarnation{ID: "answering"})
		time.Sleep(propagationTime)
		g.Expect(countStatuses(all, sharedPart)).To(Equal(map[quarantine.Status]int{quarantine.Normal: 7}))
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 7}))
	})
}

// Guards against losing the quarantine of a part with its hub, and against routers that were cut off or
// start later and send it.
func TestQuarantineOfAPartOutlivesRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &source{revision: 1, version: 1}
		c := startCluster(t, 5, s)
		c.net.isolate(c.all[4].addr)
		crashWithParts(c.all[:4], 0, 5)
		c.net.setCut(func(netip.AddrPort, netip.AddrPort) bool { return false })
		for _, m := range c.all[1:3] { // the first is the seed of routers that start
			m.stop()
			<-m.done
		}
		c.run(5, s)
		const repairTime = 3 * time.Second
		time.Sleep(repairTime)
		g.Expect(countStatuses(append(c.all[:1:1], c.all[3:]...), badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 4}))
	})
}

// Guards against requests that a router sends after its start before it has what others have in quarantine,
// and against requests that wait where nothing is.
func TestRequestsWaitForTheQuarantineAfterTheStart(t *testing.T) {
	for _, crashes := range []int{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := &source{revision: 1, version: 1}
			c := startCluster(t, 5, s)
			crashWithParts(c.all, 0, crashes)
			time.Sleep(propagationTime)
			c.run(5, s)
			started := c.all[5]
			for len(started.node.Dump().Members) == 0 {
				time.Sleep(time.Millisecond)
			}
			const soon = 20 * time.Millisecond
			asked := time.Now()
			started.node.AwaitQuarantine(t.Context())
			g.Expect(time.Since(asked)).To(BeNumerically("<", soon))
			want := quarantine.Normal
			if crashes > 0 {
				want = quarantine.Quarantined
			}
			g.Expect(started.node.Quarantine().Status(badPart)).To(Equal(want))
		})
	}
}

// Guards against trials of a part that together are more than three later than the first seconds, and
// against a release that sends it to more than one upstream.
func TestTrialsOfAPartAreLimitedAcrossRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		crashWithParts(all, 0, 5)
		upstream := 10
		try := func(duration time.Duration) int {
			return requestTrials(all, badPart, duration, func(m *member) {
				upstream++
				m.node.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{badPart}, Team: "schools"}, dispatch.Incarnation{ID: fmt.Sprint("t", upstream)}, 0)
			})
		}
		g.Expect(try(3 * time.Second)).To(BeNumerically("<=", 1))
		g.Expect(try(100 * time.Second)).To(BeNumerically("<=", 3))
		all[2].node.Release(badPart)
		time.Sleep(propagationTime)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 7}))
		g.Expect(try(5 * time.Second)).To(Equal(1))
		all[2].node.Release(badPart)
		time.Sleep(2 * time.Second)
		g.Expect(all[3].node.RequestTrial(t.Context(), []quarantine.Key{badPart})).To(BeTrue())
		all[3].node.ReportStarted([]dispatch.Part{{ID: badPart.Hash}}, dispatch.Incarnation{ID: "answering"})
		time.Sleep(propagationTime)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Normal: 7}))
	})
}

// Guards against requests that are never tried because two of their keys are in quarantine, and against
// several trials of one key.
func TestTrialOfSeveralKeysIsGrantedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		crashWithParts(all, 0, 5)
		time.Sleep(propagationTime)
		g.Expect(countStatuses(all, sharedPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 7}))
		granted := make(chan *member, len(all))
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			for i, m := range all {
				keys := []quarantine.Key{badPart, sharedPart}
				if i%2 == 0 {
					keys = []quarantine.Key{sharedPart, badPart}
				}
				go func() {
					if m.node.RequestTrial(t.Context(), keys) {
						granted <- m
					}
				}()
			}
		}
		g.Expect(granted).To(HaveLen(1))
		(<-granted).node.ReportStarted([]dispatch.Part{{ID: sharedPart.Hash}, {ID: badPart.Hash}}, dispatch.Incarnation{ID: "answering"})
		time.Sleep(propagationTime)
		for _, key := range []quarantine.Key{badPart, sharedPart} {
			g.Expect(countStatuses(all, key)).To(Equal(map[quarantine.Status]int{quarantine.Normal: 7}))
		}
	})
}

// Guards against a quarantine that continues because a trial was granted to a request that has ended.
func TestEndedTrialIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		startAnswers(all, time.Second)
		crashWithParts(all, 0, 5)
		for _, m := range all {
			time.Sleep(2 * time.Second)
			g.Expect(m.node.RequestTrial(t.Context(), []quarantine.Key{sharedPart})).To(BeTrue())
			g.Expect(all[0].node.RequestTrial(t.Context(), []quarantine.Key{sharedPart})).To(BeFalse())
			m.node.EndTrial([]quarantine.Key{sharedPart})
		}
	})
}

// Guards against refusing for minutes what many requests share because the hub of the key has started since.
func TestHubLearnsThatAKeyWasHarmlessBefore(t *testing.T) {
	for witness := range 6 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			all := start(t, 6, &source{revision: 1, version: 1})
			startAnswers(all[witness:witness+1], time.Second)
			time.Sleep(time.Second)
			crashWithParts(all, 0, 5)
			trials := requestTrials(all, sharedPart, 20*time.Second, func(m *member) {
				m.node.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{sharedPart}}, dispatch.Incarnation{ID: fmt.Sprint("t", time.Now())}, 0)
			})
			g.Expect(trials).To(BeNumerically(">=", 6))
		})
	}
}

// Guards against a trial that is granted for one key of a request, refused for another, and kept.
func TestTrialThatIsGrantedInPartIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		startAnswers(all, time.Second)
		crashWithParts(all, 0, 5)
		time.Sleep(2 * time.Second)
		g.Expect(all[1].node.RequestTrial(t.Context(), []quarantine.Key{badPart})).To(BeTrue())
		g.Expect(all[2].node.RequestTrial(t.Context(), []quarantine.Key{sharedPart, badPart})).To(BeFalse())
		time.Sleep(2 * time.Second)
		g.Expect(all[3].node.RequestTrial(t.Context(), []quarantine.Key{sharedPart})).To(BeTrue())
	})
}

// Guards against waiting for the result of a trial whose upstream counted as broken before.
func TestTrialAtABrokenUpstreamHasAResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 5, &source{revision: 1, version: 1})
		crashWithParts(all, 0, 5)
		broken := dispatch.Incarnation{ID: "broken"}
		all[1].node.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{crashingContent("homes")}, Team: "homes"}, broken, timeToCrash)
		time.Sleep(2 * time.Second)
		g.Expect(all[0].node.RequestTrial(t.Context(), []quarantine.Key{badPart})).To(BeTrue())
		time.Sleep(timeToCrash)
		all[0].node.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{badPart, sharedPart}, TrialOf: []quarantine.Key{badPart}, Team: "schools"}, broken, timeToCrash/2)
		time.Sleep(propagationTime)
		crashes := 0 // as the hub counts them
		for _, m := range all {
			for _, held := range m.node.Dump().Quarantine {
				if held.Part == badPart.String() {
					crashes = max(crashes, held.Crashes)
				}
			}
		}
		g.Expect(crashes).To(Equal(5))
	})
}

// Guards against messages about parts exceeding their share of the control traffic.
func TestTrafficAboutPartsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t)
		c.configure = func(i int, cfg *fleet.Config) { cfg.Domain = fmt.Sprint("d", i%4) }
		const routers, crashes, interrupted, parts = 16, 30, 8, 15
		c.start(routers, &source{revision: 1, version: 1})
		time.Sleep(10 * time.Second)
		idle := c.bytesPerSecond(func() {})
		busy := c.bytesPerSecond(func() {
			for crash := range crashes {
				time.Sleep(300 * time.Millisecond)
				for r := range interrupted {
					keys := []quarantine.Key{quarantine.NewContentKey("schools", "POST", "h", fmt.Sprint("/", crash, r), nil)}
					for part := range parts {
						keys = append(keys, quarantine.NewPartKey(uint64(1000*crash+20*r+part)))
					}
					c.all[(crash+r)%routers].node.ReportCrash(quarantine.Interruption{Keys: keys, Team: "schools"}, dispatch.Incarnation{ID: fmt.Sprint("u", crash)}, timeToCrash)
				}
			}
		})
		t.Logf("bytes per second and router: idle %.0f, while upstreams crash three times a second under %d requests with %d parts %.0f", idle, interrupted, parts, busy)
		// The whole of a router's control traffic limit, for the seconds of an incident.
		const maxBytesPerSecond = 2000
		g.Expect(busy - idle).To(BeNumerically("<", maxBytesPerSecond))
	})
}
