package lab

import (
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// homes are cores that divide the engines. Sessions belong to one of them each.
type homes struct {
	all []*cored
	// receipts are what routers know of what their teams got.
	receipts map[int]*dispatch.Receipts[int]
	w        *world
}

func (w *world) newHomes(delay time.Duration) *homes {
	h := &homes{w: w, receipts: map[int]*dispatch.Receipts[int]{}}
	for i := range w.shape.Homes {
		c := w.newCoreOf(delay, i, w.shape.Homes)
		c.elsewhere = func(r *request) dispatch.Got {
			return h.receiptsOf(r).Elsewhere(w.clock.now, strconv.Itoa(r.team), i)
		}
		c.sent = func(r *request) {
			h.receiptsOf(r).Add(w.clock.now, strconv.Itoa(r.team), i, r.claimed())
		}
		h.all = append(h.all, c)
	}
	return h
}

func (h *homes) receiptsOf(r *request) *dispatch.Receipts[int] {
	found := h.receipts[r.router]
	if found == nil {
		found = dispatch.NewReceipts[int](dispatch.DefaultConfig(true).ShareWindow)
		h.receipts[r.router] = found
	}
	return found
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
