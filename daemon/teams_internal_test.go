package daemon

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/aspenswitch/aspenswitch/gateway"
)

// Each team with counters of its own takes memory until the process ends, and there are
// thousands of teams: the first few get their own, the others share one.
func TestTeamCountersAreBounded(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	c := teamCounters{scope: scope, teams: map[string]*teamCounter{}}
	const teams = 100
	for i := range teams {
		c.add(&gateway.TeamLoad{Team: strconv.Itoa(i), Shed: 2})
	}
	g.Expect(c.teams).To(HaveLen(mostTeamMetrics + 1))
	counters := scope.Snapshot().Counters()
	g.Expect(counters["team_requests+decision=shed,team=3"].Value()).To(Equal(int64(2)))
	g.Expect(counters["team_requests+decision=shed,team=other"].Value()).To(Equal(int64(2 * (teams - mostTeamMetrics))))
}
