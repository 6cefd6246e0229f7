package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// twoGroups simulates two homes, each with its own engines, and the exchange of usage
// between them.
type twoGroups struct {
	homes [2]*simulation
	// usage is what each team got from each home, in tokens.
	usage map[string]*[2]decayingUsage
	// sent is the number of requests sent per second and team.
	sent  []map[string]int
	start time.Duration
}

// decayingUsage decays like the accounts of shares.
type decayingUsage struct {
	dispatch.Usage
	updatedAt time.Duration
}

const (
	groupEngines   = 6
	groupsDuration = 14 * time.Second
	// requestTokens is the charge for a request.
	requestTokens = 9100
)

func newTwoGroups() *twoGroups {
	s := &twoGroups{usage: map[string]*[2]decayingUsage{}}
	for i := range s.homes {
		c := newCore(groupEngines)
		c.SetCapacity(120000)
		home := newSimulation(c)
		home.onSend = func(team string) { s.recordSent(team, i) }
		home.remoteUsage = func(team string) dispatch.Usage { return s.usageOf(team, 1-i).Usage }
		s.homes[i] = home
	}
	s.start = s.homes[0].now
	return s
}

// usageOf returns what a team got from a home, decayed to now.
func (s *twoGroups) usageOf(team string, home int) *decayingUsage {
	if s.usage[team] == nil {
		s.usage[team] = &[2]decayingUsage{}
	}
	g, now := &s.usage[team][home], s.homes[0].now
	elapsed := now - g.updatedAt
	g.Window *= math.Exp(-elapsed.Seconds() / dispatch.DefaultConfig(true).ShareWindow.Seconds())
	g.Recent *= math.Exp(-elapsed.Seconds())
	g.updatedAt = now
	return g
}

func (s *twoGroups) recordSent(team string, home int) {
	g := s.usageOf(team, home)
	g.Window += requestTokens
	g.Recent += requestTokens
	second := int((s.homes[0].now - s.start) / time.Second)
	for len(s.sent) <= second {
		s.sent = append(s.sent, map[string]int{})
	}
	s.sent[second][team]++
}

// simulate lets two teams flood both homes, and a third one only the second home.
func (s *twoGroups) simulate() {
	const step = 10 * time.Millisecond
	seq := uint64(0)
	for s.homes[0].now < s.start+groupsDuration {
		for i, home := range s.homes {
			home.step(step)
			seq++
			home.submit("spread", 100+seq%40)
			home.submit("spread too", 200+seq%40)
			if i == 1 {
				home.submit("in one group", 300+seq%40)
			}
			if seq%20 == 0 {
				home.submit("small", 1000+seq%5)
			}
		}
	}
}

// sentWithin returns the requests sent per team in comparisonSeconds from a second on.
func (s *twoGroups) sentWithin(from int) map[string]int {
	got := map[string]int{}
	for _, second := range s.sent[from : from+comparisonSeconds] {
		for team, n := range second {
			got[team] += n
		}
	}
	return got
}

// Guards against homes that divide their capacity evenly, because they have no record of what
// teams get elsewhere. All teams were refused throughout, but over six seconds a team with all
// its sessions at one home got 0.4 of what each of two teams that flooded both homes got (350,000
// tokens per second for a team of one group, 600,000 and more for teams of four).
func TestTeamOfOneGroupGetsAsMuchAsOthers(t *testing.T) {
	s := newTwoGroups()
	s.simulate()
	// The accounts fill during the first seconds.
	for from := 2; from+comparisonSeconds < len(s.sent); from++ {
		got := s.sentWithin(from)
		most := max(got["spread"], got["spread too"])
		if 2*(got["in one group"]+toleratedRequests) < most {
			t.Fatalf("from second %d: %v", from, got)
		}
		if 2*(min(got["spread"], got["spread too"])+toleratedRequests) < max(most, got["in one group"]) {
			t.Fatalf("from second %d: %v", from, got)
		}
	}
}

// minSmallTeamsServed is the minimum served fraction of small teams' requests beside
// floods. The tests of package lab use the same bound.
const minSmallTeamsServed = 0.85

// Guards against small teams starved by a team of one group, which may take more of that
// group's engines than an even division. Small teams go first and must get what they
// request.
func TestFloodOfOneGroupSparesTheSmallTeams(t *testing.T) {
	s := newTwoGroups()
	s.simulate()
	for i, home := range s.homes {
		sent := 0
		for _, second := range s.sent {
			sent += second["small"]
		}
		submitted := s.homes[0].submitted["small"] + s.homes[1].submitted["small"]
		if float64(sent) < minSmallTeamsServed*float64(submitted) {
			t.Fatalf("small teams were sent %d of %d requests", sent, submitted)
		}
		if idle := home.idleFraction(); idle > 0.1 {
			t.Fatalf("engines of home %d were idle for %.2f of the time", i, idle)
		}
	}
}
