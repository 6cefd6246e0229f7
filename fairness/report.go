package fairness

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Entry is one team's part of a report. On the wire it is an array of numbers:
// team, service, running, waiting, lift; trailing zeros are left out.
type Entry struct {
	Team TeamID
	Tally
	Lift float64
}

// serviceScale is the precision of service on the wire: milliseconds of slot time.
const serviceScale = 1000

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
		Tally: Tally{
			Service: float64(fields[1]) / serviceScale,
			Running: int(fields[2]),
			Waiting: int(fields[3]),
		},
		Lift: float64(fields[4]) / serviceScale,
	}
	return nil
}

// Due returns the teams whose accounts have left the line that peers
// extrapolate, and marks them as sent. They must be sent to every peer.
func (a *Accounts) Due(now time.Time) []Entry {
	var due []Entry
	for _, acc := range a.order {
		if a.diverged(now, acc) {
			due = append(due, a.report(now, acc))
		}
	}
	return due
}

// diverged reports whether peers would err by more than ReportError.
func (a *Accounts) diverged(now time.Time, acc *account) bool {
	if (acc.own.Waiting > 0) != (acc.sent.tally.Waiting > 0) {
		return true
	}
	limit := a.cfg.ReportError * a.unit()
	if (acc.lift-acc.sentLift)/acc.share > limit {
		return true
	}
	actual := a.ownService(now, acc) + float64(acc.own.Running)*a.residual()
	believed := acc.sent.service(now, a.cfg.ExtrapolateFor) + float64(acc.sent.tally.Running)*a.residual()
	return math.Abs(actual-believed)/acc.share > limit
}

// Turned reports whether the team has begun to wait since the peers were told.
func (a *Accounts) Turned(id TeamID) bool {
	acc := a.teams[id]
	return acc.own.Waiting > 0 && acc.sent.tally.Waiting == 0
}

// report returns the team's entry and notes it as sent.
func (a *Accounts) report(now time.Time, acc *account) Entry {
	tally := acc.own
	tally.Service = a.ownService(now, acc)
	acc.sent = view{tally: tally, at: now}
	acc.sentLift = acc.lift
	return Entry{Team: acc.id, Tally: tally, Lift: acc.lift}
}

// Full returns an entry for every team with anything to tell.
func (a *Accounts) Full(now time.Time) []Entry {
	var all []Entry
	for _, acc := range a.order {
		if acc.own != (Tally{}) || acc.lift > 0 {
			tally := acc.own
			tally.Service = a.ownService(now, acc)
			all = append(all, Entry{Team: acc.id, Tally: tally, Lift: acc.lift})
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
		*v = view{tally: e.Tally, at: now}
	}
}

// peerOf returns the views of the router's incarnation. The service of an
// earlier incarnation moves to the base, so that a restart neither resets a
// team's account nor counts it twice.
func (a *Accounts) peerOf(router string, incarnation uint64) *peer {
	p, ok := a.peers[router]
	if ok && p.incarnation == incarnation {
		return p
	}
	if ok {
		a.fold(p)
	}
	p = &peer{incarnation: incarnation, views: map[TeamID]*view{}}
	a.peers[router] = p
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

// SetGone tells whether a router is no longer live.
func (a *Accounts) SetGone(router string, gone bool) {
	if p, ok := a.peers[router]; ok {
		p.gone = gone
	}
}
