package dispatch

import "time"

// Ledger aggregates the usage of teams from the reports of all homes of the fleet.
//
// Teams compare what they get from the whole fleet, while a home only sees its own
// engines. The usage at other homes can't come from the routers that submit requests: one
// of hundreds of routers submits to a given home less than once a second, and homes
// counted only a third of the usage of a team spread over all routers, but all of the
// usage of a team behind one router. Homes have exact figures for what they served,
// whichever router submitted it; so the age of a team's usage is the time since the last
// report, however many routers the team uses.
//
// The usage at a home that stops reporting counts until it has decayed, so that it isn't
// lost when another home takes over. A Ledger isn't safe for concurrent use.
type Ledger struct {
	window  time.Duration
	reports map[string]map[uint64]remoteReport
	// reportingSince is when the current sequence of reports began, and lastReportAt when
	// the last one was received.
	reportingSince, lastReportAt time.Duration
}

// NewLedger returns an empty ledger for the given share window.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, reports: map[string]map[uint64]remoteReport{}}
}

// maxLedgerTeams bounds the memory, at about 100 bytes per team and home. When it is
// exceeded, all entries are dropped; homes report them again.
const maxLedgerTeams = 4096

// ledgerSettleTime is the time within which each home reports at least once. After a gap
// of this length the ledger has to settle again.
const ledgerSettleTime = 900 * time.Millisecond

// Record replaces the previously reported usage of a team at a home.
func (l *Ledger) Record(now time.Duration, home uint64, team string, usage Usage) {
	if now-l.lastReportAt > ledgerSettleTime || l.lastReportAt == 0 {
		l.reportingSince = now
	}
	l.lastReportAt = now
	homes := l.reports[team]
	if homes == nil {
		if len(l.reports) >= maxLedgerTeams {
			clear(l.reports)
		}
		homes = map[uint64]remoteReport{}
		l.reports[team] = homes
	}
	homes[home] = remoteReport{usage: usage, receivedAt: now}
}

// RemoteUsage returns a team's usage at all homes but one. ok is false until all homes
// have had time to report: before that, usage at the missing homes would count as zero,
// and the caller should keep the previous values.
func (l *Ledger) RemoteUsage(now time.Duration, home uint64, team string) (usage Usage, ok bool) {
	if now-l.reportingSince < ledgerSettleTime {
		return Usage{}, false
	}
	var windows, recents []float64
	for id, report := range l.reports[team] {
		if id == home {
			continue
		}
		usage := report.estimate(now, l.window)
		windows = append(windows, usage.Window)
		recents = append(recents, usage.Recent)
	}
	return Usage{Window: sortedSum(windows), Recent: sortedSum(recents)}, true
}

// Sweep removes usage that has decayed.
func (l *Ledger) Sweep(now time.Duration) {
	for team, homes := range l.reports {
		for id, report := range homes {
			if report.estimate(now, l.window).Window < minAccountTokens {
				delete(homes, id)
			}
		}
		if len(homes) == 0 {
			delete(l.reports, team)
		}
	}
}
