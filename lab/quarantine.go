package lab

import (
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// routerQuarantine is the quarantine state of a simulated router.
type routerQuarantine struct {
	table   *quarantine.Table
	started *quarantine.RecentSuccesses
}

func newRouterQuarantines(routers int) []*routerQuarantine {
	all := make([]*routerQuarantine, routers)
	for i := range all {
		all[i] = &routerQuarantine{
			table: quarantine.NewTable(quarantine.DefaultConfig()), started: quarantine.NewRecentSuccesses(quarantine.MaxSuccesses),
		}
	}
	return all
}

// partKeys returns the keys of a request's parts, without the last part, which is its own.
func (r *request) partKeys() []quarantine.Key {
	keys := make([]quarantine.Key, 0, len(r.parts)-1)
	for _, p := range r.parts[:len(r.parts)-1] {
		keys = append(keys, quarantine.NewPartKey(p.ID))
	}
	return keys
}

// hub returns the router that counts the crashes of a key.
func (s *simulation) hub(key quarantine.Key) int { return int(key.Hash % uint64(s.fleet.Routers)) }

// maySend reports whether no part of a request is in quarantine, or the request may be sent as a
// trial of those that are.
func (s *simulation) maySend(r *request) bool {
	if s.crash == nil || s.crash.Disabled || len(r.trial) > 0 {
		return true
	}
	view := s.crash.quarantines[r.router].table.View()
	var quarantined []quarantine.Key
	for _, key := range r.partKeys() {
		if view.Status(key) == quarantine.Quarantined {
			quarantined = append(quarantined, key)
		}
	}
	if len(quarantined) == 0 {
		return true
	}
	if !s.grantTrial(r, quarantined) {
		return false
	}
	r.trial = quarantined
	return true
}

// grantTrial grants a trial if one of each key is due.
func (s *simulation) grantTrial(r *request, keys []quarantine.Key) bool {
	for _, key := range keys {
		for _, router := range []int{r.router, s.hub(key)} {
			if !s.crash.quarantines[router].table.TrialDue(s.clock.now, key) {
				return false
			}
		}
	}
	for _, key := range keys {
		s.crash.quarantines[s.hub(key)].table.GrantTrial(s.clock.now, key)
	}
	return true
}

// endTrial ends the trial of a request that was not sent.
func (s *simulation) endTrial(r *request) {
	for _, key := range r.trial {
		s.crash.quarantines[s.hub(key)].table.EndTrial(s.clock.now, key)
	}
	r.trial = nil
}

// refuseQuarantined refuses a request with a part in quarantine. Its caller doesn't retry.
func (s *simulation) refuseQuarantined(r *request) {
	if !s.hasCrashingPart(r.parts) {
		s.crash.result.Refused++
	}
	r.ended = true
	s.finish(r, 0, &s.result.Refused)
}

// reportCrash reports the crash under a request whose answer had not started.
func (s *simulation) reportCrash(r *request, q *sequence) {
	r.trial = nil
	for _, key := range r.partKeys() {
		c := quarantine.Crash{ID: key, Team: strconv.Itoa(r.team), Upstream: q.incarnation, Sent: r.sentAt}
		s.report(r.router, key, func(t *quarantine.Table) (quarantine.Notice, bool) { return t.RecordCrash(s.clock.now, c) })
	}
}

// reportStarted reports that an answer has started.
func (s *simulation) reportStarted(r *request) {
	if s.crash == nil {
		return
	}
	r.trial = nil
	state := s.crash.quarantines[r.router]
	for _, key := range r.partKeys() {
		state.started.Add(s.clock.now, key)
		if state.table.View().HasCrashes(key) {
			s.clear(r.router, key)
		}
	}
}

func (s *simulation) clear(router int, key quarantine.Key) {
	s.report(router, key, func(t *quarantine.Table) (quarantine.Notice, bool) { return t.Clear(s.clock.now, key) })
}

// report updates the table of the observing router and that of the key's hub.
func (s *simulation) report(router int, key quarantine.Key, update func(*quarantine.Table) (quarantine.Notice, bool)) {
	s.updateQuarantine(router, update)
	if hub := s.hub(key); hub != router {
		s.clock.after(oneWayDelay, func() { s.updateQuarantine(hub, update) })
	}
}

// updateQuarantine updates a router's table and sends a change of a status to the others.
func (s *simulation) updateQuarantine(router int, update func(*quarantine.Table) (quarantine.Notice, bool)) {
	notice, changed := update(s.crash.quarantines[router].table)
	if !changed {
		return
	}
	s.statusChanged(router, notice)
	if notice.Status == quarantine.Normal && router != s.hub(notice.ID) {
		return // the hub announces it
	}
	for i, other := range s.crash.quarantines {
		if i == router {
			continue
		}
		s.clock.after(oneWayDelay, func() {
			if other.table.Apply(s.clock.now, notice) {
				s.statusChanged(i, notice)
			}
		})
	}
}

// statusChanged reports a success that a router observed before a quarantine.
func (s *simulation) statusChanged(router int, n quarantine.Notice) {
	state := s.crash.quarantines[router]
	within := func(window time.Duration) bool { return state.started.SucceededWithin(s.clock.now, n.ID, window) }
	switch {
	case n.Status != quarantine.Quarantined:
	case within(quarantine.PartSuccessWindow):
		s.clear(router, n.ID)
	case within(quarantine.ProvenWindow):
		state.table.SetProven(s.clock.now, n.ID)
	}
}
