package fleet

import (
	"math"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// packedLoad is a dispatch.LoadReport as it is sent in the Started field of a reportStarted, 0 if the
// upstream stated none. Routers of earlier releases decode the field and ignore it there; they wouldn't
// decode a report of another form, and would count a response that they don't see as an idle
// upstream's backlog.
type packedLoad int64

// Widths of the fields of a packedLoad, in bits from the lowest.
const (
	loadAgeBits      = 9
	loadSlowdownBits = 12
	loadCountBits    = 14
)

// slowdownUnit is the unit of a packed slowdown: one percent.
const slowdownUnit = 0.01

// packLoad returns 0 for a load that isn't used: one without the present speed, or so old that it says
// nothing about the present.
func packLoad(r dispatch.LoadReport) packedLoad {
	age := r.Age.Milliseconds()
	if !r.StatesSpeed() || age >= 1<<loadAgeBits {
		return 0
	}
	packed := uint64(0)
	for _, count := range []int{r.Running, r.Waiting, r.Slots} {
		packed = packed<<loadCountBits | uint64(min(max(count, 0), 1<<loadCountBits-1))
	}
	slowdown := min(math.Round(r.Slowdown/slowdownUnit), 1<<loadSlowdownBits-1)
	packed = packed<<loadSlowdownBits | uint64(slowdown)
	return packedLoad(packed<<loadAgeBits | uint64(max(age, 0)))
}

// packLoad returns the load to report, 0 if loads aren't used.
func (n *Node) packLoad(r dispatch.LoadReport) int64 {
	if !n.cfg.Engine.LoadReports && !n.cfg.Plain.LoadReports {
		return 0
	}
	return int64(packLoad(r))
}

// unpack returns the load. Any value, which a peer may have sent, gives one within the bounds.
func (p packedLoad) unpack() dispatch.LoadReport {
	rest := uint64(max(p, 0))
	take := func(bits int) int {
		field := rest & (1<<bits - 1)
		rest >>= bits
		return int(field)
	}
	age, slowdown := take(loadAgeBits), take(loadSlowdownBits)
	slots, waiting, running := take(loadCountBits), take(loadCountBits), take(loadCountBits)
	return dispatch.LoadReport{
		Running: running, Waiting: waiting, Slots: slots, Slowdown: float64(slowdown) * slowdownUnit,
		Age: time.Duration(age) * time.Millisecond,
	}
}
