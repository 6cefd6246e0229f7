package daemon

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/aspenswitch/aspenswitch/gateway"
)

// Guards against unbounded memory use. Counters are kept until the process ends and there are
// thousands of teams, so only the first few teams get counters of their own and the others
// share one set.
func TestTeamCountersAreBounded(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	c := teamCounters{scope: scope, teams: map[string]*teamCounter{}}
	const teams = 100
	for i := range teams {
		c.add(&gateway.TeamLoad{Team: strconv.Itoa(i), Shed: 2})
	}
	g.Expect(c.teams).To(HaveLen(maxTeamMetrics + 1))
	counters := scope.Snapshot().Counters()
	g.Expect(counters["team_requests+decision=shed,team=3"].Value()).To(Equal(int64(2)))
	g.Expect(counters["team_requests+decision=shed,team=other"].Value()).To(Equal(int64(2 * (teams - maxTeamMetrics))))
}
