package fairness

import (
	"encoding/json"
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Entry is one team's part of a report. On the wire it is an array of numbers:
// team, service, running, waiting, lift; trailing zeros are omitted.
type Entry struct {
	Team TeamID
	Usage
	Lift float64
}

// serviceScale is the precision of service on the wire: hundredths of a slot
// second, far below the tolerated error of a report.
const serviceScale = 100

// entryFields is the number of array items in an Entry without omitted zeros.
const entryFields = 5

// MarshalJSON encodes the entry as an array.
func (e Entry) MarshalJSON() ([]byte, error) {
	fields := []int64{
		int64(e.Team),
		int64(math.Round(e.Service * serviceScale)),
		int64(e.Running),
		int64(e.Waiting),
		int64(math.Round(e.Lift * serviceScale)),
	}
	for len(fields) > 1 && fields[len(fields)-1] == 0 {
		fields = fields[:len(fields)-1]
	}
	return json.Marshal(fields)
}

// UnmarshalJSON decodes an array written by MarshalJSON.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var fields []int64
	if err := json.Unmarshal(data, &fields); err != nil {
		return errs.Wrap(err)
	}
	if len(fields) == 0 || len(fields) > entryFields {
		return errs.New("report entry has %d fields, want 1 to %d", len(fields), entryFields)
	}
	fields = append(fields, make([]int64, entryFields-len(fields))...)
	if slices.Min(fields) < 0 {
		return errs.New("report entry of team %d has a negative field", fields[0])
	}
	*e = Entry{
		Team: TeamID(fields[0]),
		Usage: Usage{
			Service: float64(fields[1]) / serviceScale,
			Running: int(fields[2]),
			Waiting: int(fields[3]),
		},
		Lift: float64(fields[4]) / serviceScale,
	}
	return nil
}

// HasUnreportedLag reports whether a team waits here that is not reported as
// waiting to the peers and is more than lag (slot seconds per unit of share)
// behind the best served waiting team: a holder elsewhere would give up a slot
// for it. Other teams get the next slot that becomes idle here, and a report
// would not help them.
func (a *Accounts) HasUnreportedLag(now time.Time, lag float64) bool {
	least, top := math.Inf(1), math.Inf(-1)
	for _, acc := range a.sorted {
		if !a.backlogged(acc) {
			continue
		}
		key := a.key(now, acc)
		top = max(top, key)
		if acc.own.Waiting > 0 && acc.lastReport.usage.Waiting == 0 {
			least = min(least, key)
		}
	}
	return top-least > lag
}

// DueEntries returns the entries of teams whose accounts have deviated from the
// extrapolation of the peers, and of teams that began or stopped waiting, and
// records them as reported. The caller must send them to every peer. If no
// account has diverged, teams that only began or stopped waiting are omitted
// unless force is set.
func (a *Accounts) DueEntries(now time.Time, force bool) []Entry {
	if !force && !slices.ContainsFunc(a.sorted, func(acc *account) bool { return a.diverged(now, acc) }) {
		return nil
	}
	var due []Entry
	for _, acc := range a.sorted {
		if a.diverged(now, acc) || acc.backlogChanged() || (force && acc.own.Waiting > acc.advertised) {
			due = append(due, a.recordReport(now, acc))
		}
	}
	return due
}

// backlogChanged reports whether the team began or stopped waiting since the
// last report.
func (acc *account) backlogChanged() bool {
	return (acc.own.Waiting > 0) != (acc.lastReport.usage.Waiting > 0)
}

// diverged reports whether the peers' extrapolation is off by more than
// ReportError. Whether a team waits does not count here: that is reported along
// with diverged accounts; see HasUnreportedLag.
func (a *Accounts) diverged(now time.Time, acc *account) bool {
	limit := a.cfg.ReportError * a.meanCost
	if (acc.lift-acc.reportedLift)/acc.share > limit {
		return true
	}
	// A running request that was not reported will cost about the mean cost.
	actual := a.ownService(now, acc) + float64(acc.own.Running)*a.meanCost
	extrapolated := acc.lastReport.serviceAt(now, a.cfg.MaxExtrapolation) + float64(acc.lastReport.usage.Running)*a.meanCost
	return math.Abs(actual-extrapolated)/acc.share > limit
}

// HasUnadvertised reports whether more of the team's requests wait here than
// were advertised to the peers as needing slots.
func (a *Accounts) HasUnadvertised(id TeamID) bool {
	acc := a.teams[id]
	return acc.own.Waiting > acc.advertised
}

// AnyUnadvertised reports whether HasUnadvertised is true of any team.
func (a *Accounts) AnyUnadvertised() bool {
	return slices.ContainsFunc(a.sorted, func(acc *account) bool { return acc.own.Waiting > acc.advertised })
}

// RecordGrants lowers the advertised counts after slots arrived from other
// routers. The routers that gave them up count those requests as provided for,
// so any further waiting request must be advertised again.
func (a *Accounts) RecordGrants() {
	for _, acc := range a.sorted {
		acc.advertised = min(acc.advertised, acc.own.Waiting)
	}
}

// WaitingReportOutdated reports whether the last reports list teams as waiting
// here while none does.
func (a *Accounts) WaitingReportOutdated() bool {
	reported := false
	for _, acc := range a.sorted {
		if acc.own.Waiting > 0 {
			return false
		}
		reported = reported || acc.lastReport.usage.Waiting > 0
	}
	return reported
}

// recordReport returns the team's entry and records it as reported.
func (a *Accounts) recordReport(now time.Time, acc *account) Entry {
	e := a.entry(now, acc)
	acc.lastReport = reportedUsage{usage: e.Usage, reportedAt: now}
	acc.advertised = e.Waiting
	if e.Lift == acc.reportedLift {
		// Lifts merge by maximum, so an unchanged one need not be sent again.
		e.Lift = 0
		return e
	}
	acc.reportedLift = e.Lift
	return e
}

// entry returns the team's account in wire form. The waiting count is only
// needed approximately, so it is rounded up to a power of two, which takes fewer
// bytes.
func (a *Accounts) entry(now time.Time, acc *account) Entry {
	e := Entry{Team: acc.id, Usage: acc.own, Lift: acc.lift}
	e.Service = a.ownService(now, acc)
	if e.Waiting > 0 {
		e.Waiting = 1 << bits.Len(uint(e.Waiting-1))
	}
	return e
}

// AllEntries returns an entry for every team with a non-zero account.
func (a *Accounts) AllEntries(now time.Time) []Entry {
	var all []Entry
	for _, acc := range a.sorted {
		if acc.own != (Usage{}) || acc.lift > 0 {
			all = append(all, a.entry(now, acc))
		}
	}
	return all
}

// Merge applies another router's report. Service and lift merge by maximum, so a
// report may arrive twice; the caller must drop reports that arrive out of
// order.
func (a *Accounts) Merge(now time.Time, router string, incarnation uint64, entries []Entry) {
	p := a.peerFor(router, incarnation)
	p.unreachable = false
	for _, e := range entries {
		acc, ok := a.teams[e.Team]
		if !ok {
			continue
		}
		acc.lift = max(acc.lift, e.Lift)
		r, ok := p.reports[e.Team]
		if !ok {
			r = &reportedUsage{}
			p.reports[e.Team] = r
		}
		e.Service = max(e.Service, r.usage.Service)
		*r = reportedUsage{usage: e.Usage, reportedAt: now}
	}
}

// peerFor returns the reports of the router's incarnation. The service of an
// earlier incarnation moves to the base, so that a restart neither resets a
// team's account nor counts its service twice.
func (a *Accounts) peerFor(router string, incarnation uint64) *peer {
	p, ok := a.findPeer(router)
	if ok && p.incarnation == incarnation {
		return p
	}
	if ok {
		a.fold(p)
	} else {
		p = &peer{name: router}
		a.peers = append(a.peers, p)
		slices.SortFunc(a.peers, func(x, y *peer) int { return strings.Compare(x.name, y.name) })
	}
	*p = peer{name: router, incarnation: incarnation, reports: map[TeamID]*reportedUsage{}}
	return p
}

// fold adds a peer's service to the base.
func (a *Accounts) fold(p *peer) {
	for id, r := range p.reports {
		if acc, ok := a.teams[id]; ok {
			acc.base += r.usage.Service
		}
	}
}

// SetUnreachable marks a router as no longer live, or as live again.
func (a *Accounts) SetUnreachable(router string, unreachable bool) {
	if p, ok := a.findPeer(router); ok {
		p.unreachable = unreachable
	}
}
