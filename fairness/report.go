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
// team, service, running, waiting, lift; trailing zeros are left out.
type Entry struct {
	Team TeamID
	Usage
	Lift float64
}

// serviceScale is the precision of service on the wire: hundredths of a slot
// second, far below what a report may be off anyway.
const serviceScale = 100

// entryFields is the number of array items of a whole Entry.
const entryFields = 5

// MarshalJSON writes the entry as an array.
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

// UnmarshalJSON reads what MarshalJSON writes.
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

// HasUnreportedLag reports whether a team waits here that the peers don't know of and that
// is behind the best served waiting team by more than lag (slot seconds
// per unit of share): a holder elsewhere would give up a slot for them. Others
// get the next slot that falls idle here, and a report would bring them nothing.
func (a *Accounts) HasUnreportedLag(now time.Time, lag float64) bool {
	least, top := math.Inf(1), math.Inf(-1)
	for _, acc := range a.order {
		if !a.waits(acc) {
			continue
		}
		key := a.key(now, acc)
		top = max(top, key)
		if acc.own.Waiting > 0 && acc.sent.tally.Waiting == 0 {
			least = min(least, key)
		}
	}
	return top-least > lag
}

// DueEntries returns the teams whose accounts have left the line that peers
// extrapolate, with those that began or ceased to wait, and marks them as sent.
// They must be sent to every peer. Where no account diverged, teams that only
// began or ceased to wait are left for later unless force is set.
func (a *Accounts) DueEntries(now time.Time, force bool) []Entry {
	if !force && !slices.ContainsFunc(a.order, func(acc *account) bool { return a.diverged(now, acc) }) {
		return nil
	}
	var due []Entry
	for _, acc := range a.order {
		if a.diverged(now, acc) || acc.turned() || (force && acc.own.Waiting > acc.asked) {
			due = append(due, a.report(now, acc))
		}
	}
	return due
}

// turned reports whether the team began or ceased to wait since the last report.
func (acc *account) turned() bool {
	return (acc.own.Waiting > 0) != (acc.sent.tally.Waiting > 0)
}

// diverged reports whether peers would err by more than ReportError. That a
// team waits or no longer does is told along with what diverged; see Stalled.
func (a *Accounts) diverged(now time.Time, acc *account) bool {
	limit := a.cfg.ReportError * a.meanCost
	if (acc.lift-acc.sentLift)/acc.share > limit {
		return true
	}
	// A running request that the peers don't know of will cost about a mean cost.
	actual := a.ownService(now, acc) + float64(acc.own.Running)*a.meanCost
	believed := acc.sent.service(now, a.cfg.MaxExtrapolation) + float64(acc.sent.tally.Running)*a.meanCost
	return math.Abs(actual-believed)/acc.share > limit
}

// HasUnadvertised reports whether more of the team's requests wait here than the peers
// were asked to give up slots for.
func (a *Accounts) HasUnadvertised(id TeamID) bool {
	acc := a.teams[id]
	return acc.own.Waiting > acc.asked
}

// AnyUnadvertised reports whether Unasked is true of any team.
func (a *Accounts) AnyUnadvertised() bool {
	return slices.ContainsFunc(a.order, func(acc *account) bool { return acc.own.Waiting > acc.asked })
}

// RecordGrants notes that slots came from elsewhere: who gave them up counts the
// requests as provided for, so that what waits from now on must be asked for
// anew.
func (a *Accounts) RecordGrants() {
	for _, acc := range a.order {
		acc.asked = min(acc.asked, acc.own.Waiting)
	}
}

// WaitingReportOutdated reports whether the peers think that teams wait here while
// none does.
func (a *Accounts) WaitingReportOutdated() bool {
	believed := false
	for _, acc := range a.order {
		if acc.own.Waiting > 0 {
			return false
		}
		believed = believed || acc.sent.tally.Waiting > 0
	}
	return believed
}

// report returns the team's entry and notes it as sent.
func (a *Accounts) report(now time.Time, acc *account) Entry {
	e := a.entry(now, acc)
	acc.sent = view{tally: e.Usage, at: now}
	acc.asked = e.Waiting
	if e.Lift == acc.sentLift {
		// Lifts merge by maximum, so one that was told need not be told again.
		e.Lift = 0
		return e
	}
	acc.sentLift = e.Lift
	return e
}

// entry is the team's account as it goes on the wire. How many wait matters
// roughly, and a power of two, rounded up, takes fewer bytes.
func (a *Accounts) entry(now time.Time, acc *account) Entry {
	e := Entry{Team: acc.id, Usage: acc.own, Lift: acc.lift}
	e.Service = a.ownService(now, acc)
	if e.Waiting > 0 {
		e.Waiting = 1 << bits.Len(uint(e.Waiting-1))
	}
	return e
}

// AllEntries returns an entry for every team with anything to tell.
func (a *Accounts) AllEntries(now time.Time) []Entry {
	var all []Entry
	for _, acc := range a.order {
		if acc.own != (Usage{}) || acc.lift > 0 {
			all = append(all, a.entry(now, acc))
		}
	}
	return all
}

// Merge takes in another router's report. Service and lift merge by maximum, so
// reports may come twice; the caller drops those that come out of order.
func (a *Accounts) Merge(now time.Time, router string, incarnation uint64, entries []Entry) {
	p := a.peerOf(router, incarnation)
	p.gone = false
	for _, e := range entries {
		acc, ok := a.teams[e.Team]
		if !ok {
			continue
		}
		acc.lift = max(acc.lift, e.Lift)
		v, ok := p.views[e.Team]
		if !ok {
			v = &view{}
			p.views[e.Team] = v
		}
		e.Service = max(e.Service, v.tally.Service)
		*v = view{tally: e.Usage, at: now}
	}
}

// peerOf returns the views of the router's incarnation. The service of an
// earlier incarnation moves to the base, so that a restart neither resets a
// team's account nor counts it twice.
func (a *Accounts) peerOf(router string, incarnation uint64) *peer {
	p, ok := a.peerNamed(router)
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
	*p = peer{name: router, incarnation: incarnation, views: map[TeamID]*view{}}
	return p
}

// fold moves a peer's service to the base.
func (a *Accounts) fold(p *peer) {
	for id, v := range p.views {
		if acc, ok := a.teams[id]; ok {
			acc.base += v.tally.Service
		}
	}
}

// SetUnreachable tells whether a router is no longer live.
func (a *Accounts) SetUnreachable(router string, gone bool) {
	if p, ok := a.peerNamed(router); ok {
		p.gone = gone
	}
}
