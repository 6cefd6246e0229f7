package dispatch

import "time"

// Ledger adds up what teams got from all homes of the fleet, as each home tells it.
//
// Users compare teams over the whole fleet, and a home sees only its own engines. What a
// team got elsewhere can't come from the routers that ask: one of hundreds asks a home
// less than once a second, and homes believed a third of what a team got whose callers
// meet all routers, but all of what a team got behind one. Homes know what they gave,
// whoever asked; so what they believe of a team is as old as their last word, however
// many routers it comes through.
//
// A home that falls silent is counted until its sums have decayed: what its teams got
// isn't forgotten when another one takes over. A Ledger isn't safe for concurrent use.
type Ledger struct {
	window time.Duration
	teams  map[string]map[uint64]told
	// since is when homes began to tell, heardAt when one told last.
	since, heardAt time.Duration
}

// NewLedger returns an empty ledger over the window of teams' shares.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, teams: map[string]map[uint64]told{}}
}

// mostLedgerTeams bounds the memory, at some 100 bytes a team and home. Above it all are
// forgotten; homes tell them again.
const mostLedgerTeams = 4096

// ledgerSettles is the time in which each home tells at least once. It is also the
// silence after which a ledger begins anew.
const ledgerSettles = 900 * time.Millisecond

// Record replaces what a home told before that a team got from it.
func (l *Ledger) Record(now time.Duration, home uint64, team string, got Usage) {
	if now-l.heardAt > ledgerSettles || l.heardAt == 0 {
		l.since = now
	}
	l.heardAt = now
	homes := l.teams[team]
	if homes == nil {
		if len(l.teams) >= mostLedgerTeams {
			clear(l.teams)
		}
		homes = map[uint64]told{}
		l.teams[team] = homes
	}
	homes[home] = told{got: got, at: now}
}

// RemoteUsage is what a team got from all homes but one. ok is unset while the ledger is so new
// that some homes may not have told yet: their teams would look as if they had got nothing
// there, and homes had better go on with what they were told before.
func (l *Ledger) RemoteUsage(now time.Duration, home uint64, team string) (got Usage, ok bool) {
	if now-l.since < ledgerSettles {
		return Usage{}, false
	}
	var windows, lately []float64
	for id, t := range l.teams[team] {
		if id == home {
			continue
		}
		got := t.value(now, l.window)
		windows = append(windows, got.Window)
		lately = append(lately, got.Recent)
	}
	return Usage{Window: sum(windows), Recent: sum(lately)}, true
}

// Sweep forgets what has decayed.
func (l *Ledger) Sweep(now time.Duration) {
	for team, homes := range l.teams {
		for id, t := range homes {
			if t.value(now, l.window).Window < idleAccount {
				delete(homes, id)
			}
		}
		if len(homes) == 0 {
			delete(l.teams, team)
		}
	}
}
