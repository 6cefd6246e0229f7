package lab

import (
	"time"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// multiHomePolicy divides the engines among several homes; each session belongs to one of
// them. Homes report the usage of teams to a ledger at one router, which replies with the
// usage at the other homes.
type multiHomePolicy struct {
	sim    *simulation
	cores  []*corePolicy
	ledger *dispatch.Ledger
	delay  time.Duration
}

// reportInterval is the time between two usage reports of a home.
const reportInterval = 200 * time.Millisecond

func (s *simulation) newMultiHomePolicy(delay time.Duration) *multiHomePolicy {
	h := &multiHomePolicy{sim: s, ledger: dispatch.NewLedger(dispatch.DefaultConfig(true).ShareWindow), delay: delay}
	for i := range s.fleet.Homes {
		h.cores = append(h.cores, s.newHomePolicy(s.fleet.locality(dispatch.DefaultConfig(true)), delay, i, s.fleet.Homes))
		// Stagger the reports of the homes.
		s.clock.after(reportInterval*time.Duration(i)/time.Duration(s.fleet.Homes), func() { h.report(i) })
	}
	for _, r := range s.fleet.HomeReplacements {
		s.clock.after(r.At, func() { h.replace(r.Home) })
	}
	return h
}

// replace replaces a home by one without any state. Routers report their in-flight requests
// at its engines; requests that waited at the previous home are submitted again.
func (h *multiHomePolicy) replace(home int) {
	replacement := h.sim.newHomePolicy(h.sim.fleet.locality(dispatch.DefaultConfig(true)), h.delay, home, len(h.cores))
	previous := h.cores[home]
	h.cores[home] = replacement
	previous.replaced = true
	for _, r := range h.sim.latestAttempts() {
		if homeOf(r, len(h.cores)) != home || r.ended {
			continue
		}
		if r.engineSequence == nil {
			if r.awaitsDecision {
				replacement.submit(r)
			}
			continue
		}
		engine := dispatch.Incarnation{ID: r.upstream}
		replacement.core.AddInFlight(h.sim.clock.now, replacement.dispatchRequest(r), engine, r.firstToken > 0)
	}
}

// after runs deliver when a message between homes arrives, unless the message is lost.
func (h *multiHomePolicy) after(deliver func()) {
	fleet := &h.sim.fleet
	if fleet.ReportLoss > 0 && h.sim.rng.Float64() < fleet.ReportLoss {
		return
	}
	delay := h.delay
	if fleet.MaxReportDelay > 0 {
		delay += time.Duration(h.sim.rng.Int64N(int64(fleet.MaxReportDelay)))
	}
	h.sim.clock.after(delay, deliver)
}

// report sends the usage of a home's teams to the ledger and applies the replies.
func (h *multiHomePolicy) report(home int) {
	h.sim.clock.after(reportInterval, func() { h.report(home) })
	sender := h.cores[home]
	for _, teamUsage := range sender.core.UsageReport(h.sim.clock.now) {
		h.after(func() {
			h.ledger.Record(h.sim.clock.now, uint64(home), teamUsage.Team, teamUsage.Usage)
			remote, ok := h.ledger.RemoteUsage(h.sim.clock.now, uint64(home), teamUsage.Team)
			if !ok {
				return
			}
			h.after(func() { sender.core.SetRemoteUsage(h.sim.clock.now, teamUsage.Team, remote) })
		})
	}
}

// homeOf returns the index of the home that owns a request's session.
func homeOf(r *request, homeCount int) int {
	if homeCount <= 1 {
		return 0
	}
	return int(r.parts[1].ID % uint64(homeCount))
}

func (h *multiHomePolicy) coreFor(r *request) *corePolicy { return h.cores[homeOf(r, len(h.cores))] }

func (h *multiHomePolicy) submit(r *request)     { h.coreFor(r).submit(r) }
func (h *multiHomePolicy) recordShed(r *request) { h.coreFor(r).recordShed(r) }
func (h *multiHomePolicy) started(r *request)    { h.coreFor(r).started(r) }
func (h *multiHomePolicy) done(r *request, o dispatch.Outcome, took time.Duration) {
	h.coreFor(r).done(r, o, took)
}
