package experiment

import (
	"fmt"
	"time"

	"github.com/aspenswitch/aspenswitch/sched"
)

// Design is a way to schedule, made of the same nodes.
type Design struct {
	Name string
	// Nodes is the number of nodes; every router's requests go to its own node,
	// or to the only one.
	Nodes func(Load) int
	// Connected lets the nodes talk; without it each has a fixed part of the slots.
	Connected bool
	Tune      func(*sched.Config)
}

// Fleet is the design of the daemon.
func Fleet(tune func(*sched.Config)) Design {
	return Design{Name: "fleet", Nodes: func(l Load) int { return l.Routers }, Connected: true, Tune: tune}
}

// FixedSplit is local queues with a fixed part of the slots each.
func FixedSplit() Design {
	return Design{Name: "fixed split", Nodes: func(l Load) int { return l.Routers }}
}

// Omniscient is one scheduler that sees every request without delay.
func Omniscient() Design {
	return Design{Name: "omniscient", Nodes: func(Load) int { return 1 }}
}

// settings returns what node i is configured with.
func (d Design) settings(l Load, i int) sched.Settings {
	s := sched.Settings{Pools: []int{1}}
	for id, t := range l.Teams {
		s.Teams = append(s.Teams, sched.TeamShare{Team: teamID(id), Share: t.Share})
	}
	nodes := d.Nodes(l)
	for u := range l.Upstreams {
		slots := l.SlotsPerUpstream
		if !d.Connected {
			slots = part(l.SlotsPerUpstream, nodes, (i+u)%nodes)
		}
		s.Upstreams = append(s.Upstreams, sched.Upstream{ID: u + 1, Pool: 1, Slots: slots})
	}
	return s
}

// part is the i-th of n nearly equal parts of total.
func part(total, n, i int) int { return total*(i+1)/n - total*i/n }

func nodeName(i int) string { return fmt.Sprintf("vm%d", i+1) }

// tickEvery is the daemon's tick.
const tickEvery = 100 * time.Millisecond
