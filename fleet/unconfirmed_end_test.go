package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// endWithParts reports at a router a stream with both parts that ended with its connection after one event.
func endWithParts(m *member, upstream dispatch.Incarnation, trialOf ...quarantine.Key) {
	content := quarantine.NewContentKey("schools", "POST", "h", upstream.ID, nil)
	m.node.ReportUnconfirmedEnd(quarantine.Interruption{Keys: []quarantine.Key{content, badPart}, TrialOf: trialOf, Team: "schools"}, upstream, timeToCrash)
}

// Guards against a part that crashes upstreams after the first event of their answers, which end with the
// connection, and that is never quarantined.
func TestEndBesideABrokenUpstreamIsACrash(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			all := start(t, 5, &source{revision: 1, version: 1})
			for i := range 5 {
				upstream := dispatch.Incarnation{ID: fmt.Sprint("p", i)}
				time.Sleep(4 * timeToCrash) // beyond the window in which crashes count as one
				endWithParts(all[i%5], upstream)
				time.Sleep(delay)
				// Another router sees the crash, by another team's request.
				all[(i+1)%5].node.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{crashingContent(fmt.Sprint("other", i))}, Team: "homes"}, upstream, 2*timeToCrash+delay)
			}
			time.Sleep(time.Second)
			g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 5}), "%v", delay)
		})
	}
}

// Guards against quarantining what upstreams close single connections on while they go on, and against
// keeping it in quarantine.
func TestEndAtAnUpstreamThatGoesOnIsASuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 5, &source{revision: 1, version: 1})
		answer := func(m *member, upstream dispatch.Incarnation) {
			m.node.ReportSuccess(quarantine.NewContentKey("homes", "GET", "h", "/", nil), upstream)
		}
		for i := range 20 {
			upstream := dispatch.Incarnation{ID: fmt.Sprint("u", i%3)}
			endWithParts(all[i%5], upstream)
			time.Sleep(500 * time.Millisecond)
			answer(all[i%5], upstream)
		}
		time.Sleep(time.Second)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Normal: 5}))

		crashWithParts(all, 0, 5)
		time.Sleep(2 * time.Second)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 5}))
		endWithParts(all[2], dispatch.Incarnation{ID: "u0"}, badPart)
		time.Sleep(500 * time.Millisecond)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 5}), "nothing has shown that the upstream goes on")
		answer(all[2], dispatch.Incarnation{ID: "u0"})
		time.Sleep(time.Second)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Normal: 5}))
	})
}

// Guards against an end of which nothing is seen later that clears a suspicion, or that leaves a trial
// without a result.
func TestEndWithoutAnyLaterAnswerDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 5, &source{revision: 1, version: 1})
		crashWithParts(all, 0, 3)
		endWithParts(all[0], dispatch.Incarnation{ID: "silent"})
		time.Sleep(6 * time.Second)
		crashWithParts(all, 3, 1)
		time.Sleep(time.Second)
		g.Expect(countStatuses(all, badPart)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 5}), "the crashes before must still count")
		time.Sleep(time.Second)
		g.Expect(all[1].node.RequestTrial(t.Context(), []quarantine.Key{badPart})).To(BeTrue())
		endWithParts(all[1], dispatch.Incarnation{ID: "silent"}, badPart)
		time.Sleep(6 * time.Second)
		g.Expect(all[2].node.RequestTrial(t.Context(), []quarantine.Key{badPart})).To(BeFalse(), "the trial must count as failed")
	})
}
