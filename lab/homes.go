package lab

import (
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// homes are cores that divide the engines. Sessions belong to one of them each. They tell
// one router what teams got from them, which tells each what teams got from the others.
type homes struct {
	w      *world
	all    []*cored
	ledger *dispatch.Ledger
	delay  time.Duration
}

// tellEvery is the time between two tellings of a home.
const tellEvery = 200 * time.Millisecond

func (w *world) newHomes(delay time.Duration) *homes {
	h := &homes{w: w, ledger: dispatch.NewLedger(dispatch.DefaultConfig(true).ShareWindow), delay: delay}
	for i := range w.shape.Homes {
		h.all = append(h.all, w.newCoreOf(delay, i, w.shape.Homes))
		// Homes don't tell in step.
		w.clock.after(tellEvery*time.Duration(i)/time.Duration(w.shape.Homes), func() { h.tell(i) })
	}
	for _, r := range w.shape.HomeReplacements {
		w.clock.after(r.At, func() { h.replace(r.Home) })
	}
	return h
}

// replace puts a home that knows nothing in the place of another. Routers tell it what
// they have at its engines; what waited at the old one is asked again.
func (h *homes) replace(home int) {
	next := h.w.newCoreOf(h.delay, home, len(h.all))
	old := h.all[home]
	h.all[home] = next
	old.over = true
	for _, r := range h.w.inOrder() {
		if homeOf(r, len(h.all)) != home || r.ended {
			continue
		}
		if r.atEngine == nil {
			if r.asks {
				next.ask(r)
			}
			continue
		}
		at := dispatch.Incarnation{ID: r.upstream}
		next.core.AddInFlight(h.w.clock.now, next.question(r), at, r.first > 0)
	}
}

// after runs a function when a message between homes arrives, if it does.
func (h *homes) after(do func()) {
	shape := &h.w.shape
	if shape.ReportLoss > 0 && h.w.rnd.Float64() < shape.ReportLoss {
		return
	}
	delay := h.delay
	if shape.MaxReportDelay > 0 {
		delay += time.Duration(h.w.rnd.Int64N(int64(shape.MaxReportDelay)))
	}
	h.w.clock.after(delay, do)
}

// tell sends what a home's teams got to the ledger, and takes the answer in.
func (h *homes) tell(home int) {
	h.w.clock.after(tellEvery, func() { h.tell(home) })
	teller := h.all[home]
	for _, t := range teller.core.UsageReport(h.w.clock.now) {
		h.after(func() {
			h.ledger.Record(h.w.clock.now, uint64(home), t.Team, t.Usage)
			others, ok := h.ledger.RemoteUsage(h.w.clock.now, uint64(home), t.Team)
			if !ok {
				return
			}
			h.after(func() { teller.core.SetRemoteUsage(h.w.clock.now, t.Team, others) })
		})
	}
}

// homeOf is the home of a request's session.
func homeOf(r *request, homes int) int {
	if homes <= 1 {
		return 0
	}
	return int(r.parts[1].ID % uint64(homes))
}

func (h *homes) of(r *request) *cored { return h.all[homeOf(r, len(h.all))] }

func (h *homes) ask(r *request)     { h.of(r).ask(r) }
func (h *homes) shed(r *request)    { h.of(r).shed(r) }
func (h *homes) started(r *request) { h.of(r).started(r) }
func (h *homes) done(r *request, o dispatch.Outcome, took time.Duration) {
	h.of(r).done(r, o, took)
}
