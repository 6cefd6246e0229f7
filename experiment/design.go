package experiment

import (
	"fmt"
	"time"

	"github.com/aspenswitch/aspenswitch/sched"
)

// Design is a scheduling design built from the same nodes.
type Design struct {
	Name string
	// Nodes returns the number of nodes. Each router submits to its own node, or all submit to
	// the only one.
	Nodes func(Load) int
	// Connected enables messages between the nodes; without it each has a fixed part of the slots.
	Connected bool
	Tune      func(*sched.Config)
}

// Fleet is the design that the daemon uses.
func Fleet(tune func(*sched.Config)) Design {
	return Design{Name: "fleet", Nodes: func(l Load) int { return l.Routers }, Connected: true, Tune: tune}
}

// FixedSplit gives each router a local queue and a fixed part of the slots.
func FixedSplit() Design {
	return Design{Name: "fixed split", Nodes: func(l Load) int { return l.Routers }}
}

// Omniscient is one scheduler that sees every request without delay.
func Omniscient() Design {
	return Design{Name: "omniscient", Nodes: func(Load) int { return 1 }}
}

// settings returns the settings of node i.
func (d Design) settings(l Load, i int) sched.Settings {
	s := sched.Settings{Pools: []int{1}}
	for id, t := range l.Teams {
		s.Teams = append(s.Teams, sched.TeamShare{Team: teamID(id), Share: t.Share})
	}
	nodes := d.Nodes(l)
	for u := range l.Upstreams {
		slots := l.SlotsPerUpstream
		if !d.Connected {
			slots = splitSlots(l.SlotsPerUpstream, nodes, (i+u)%nodes)
		}
		s.Upstreams = append(s.Upstreams, sched.Upstream{ID: u + 1, Pool: 1, Slots: slots})
	}
	return s
}

// splitSlots returns the i-th of n nearly equal parts of total.
func splitSlots(total, n, i int) int { return total*(i+1)/n - total*i/n }

func nodeName(i int) string { return fmt.Sprintf("vm%d", i+1) }

// tickInterval is the tick interval of the daemon.
const tickInterval = 100 * time.Millisecond
