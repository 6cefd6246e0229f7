package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// requestTrials requests a trial from each router every 100 ms for a duration. It calls
// granted for each trial that is granted, and returns their number.
func requestTrials(all []*member, id quarantine.Key, duration time.Duration, granted func(*member)) int {
	n := 0
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, m := range all {
			if m.node.RequestTrial(context.Background(), []quarantine.Key{id}) {
				n++
				granted(m)
			}
		}
	}
	return n
}

// Guards against routers that together send more trials than one router may.
func TestTrialsAreLimitedAcrossRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		id := crashingContent("schools")
		crashUpstreams(all, id, 0, 3)
		upstream := 10
		n := requestTrials(all, id, 30*time.Second, func(m *member) {
			upstream++
			m.node.ReportCrash(quarantine.Interruption{Keys: []quarantine.Key{id}, Team: "schools"}, dispatch.Incarnation{ID: string(rune('a' + upstream))}, 0)
		})
		// The first trial is due one second after the third crash; three more may follow.
		g.Expect(n).To(BeNumerically(">=", 2))
		g.Expect(n).To(BeNumerically("<=", 1+3))
		g.Expect(countStatuses(all, id)).To(Equal(map[quarantine.Status]int{quarantine.Quarantined: 7}))
	})
}

// Guards against routers that keep a content in quarantine after a trial has succeeded.
func TestSuccessfulTrialEndsQuarantineAtAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := start(t, 7, &source{revision: 1, version: 1})
		id := crashingContent("schools")
		crashUpstreams(all, id, 0, 3)
		n := requestTrials(all, id, 2*time.Second, func(m *member) { m.node.ReportSuccess(id, dispatch.Incarnation{ID: "answering"}) })
		g.Expect(n).To(Equal(1))
		time.Sleep(propagationTime)
		g.Expect(countStatuses(all, id)).To(Equal(map[quarantine.Status]int{quarantine.Normal: 7}))
	})
}
