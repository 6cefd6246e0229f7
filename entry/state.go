package entry

import "time"

// State summarizes a failure domain at its hub.
type State struct {
	// Routers is the number of all routers, Out of those that are out of the load balancer,
	// Unavailable of those that are lost or stopping, Overloaded of those that have asked to leave
	// and may not.
	Routers, Out, Unavailable, Overloaded int
	// Processor is the processor share of the routers that aren't unavailable, InRotation of those of
	// them that aren't out, Helpful of those that aren't overloaded either, in cores.
	Processor, InRotation, Helpful float64
	// Budget is the time for which routers may still be out, summed over routers.
	Budget time.Duration
}

// State returns the current state.
func (t *Table) State(now time.Duration) State { return t.stateWithout(now, nil) }

// stateWithout returns the state as it would be if a router left. The router may be nil.
func (t *Table) stateWithout(now time.Duration, leaving *vm) State {
	s := State{Routers: len(t.vms), Budget: t.budget.left()}
	for _, v := range t.vms {
		switch {
		case v == leaving || v.outUntil != 0:
			s.Out++
		case !v.Available:
			s.Unavailable++
			continue
		case v.overloaded(now):
			s.Overloaded++
			s.InRotation += v.Weight
		default:
			s.InRotation += v.Weight
			s.Helpful += v.Weight
		}
		s.Processor += v.Weight
	}
	return s
}

// Out returns the addresses of the routers that are out, in order.
func (t *Table) Out() []string {
	var out []string
	for _, v := range t.vms {
		if v.outUntil != 0 {
			out = append(out, v.Address)
		}
	}
	return out
}
