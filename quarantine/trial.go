package quarantine

import "time"

// scheduleQuarantine sets when a quarantine expires and from when the delay to its next trial
// counts. No trial is pending afterwards.
func (t *Table) scheduleQuarantine(now time.Duration, e *entry, left time.Duration) {
	e.expires = now + left
	e.trialGrantedAt = 0
	e.trialDelayFrom = now
}

// explainedWithin is how long before the quarantine of a key that of another one explains it: the
// upstreams that the other one crashed are back by then.
const explainedWithin = 10 * time.Second

// nextTrial returns when the next trial of a quarantined key is due.
func (t *Table) nextTrial(id Key, e *entry) time.Duration {
	policy := t.cfg.policy(id)
	delays := policy.TrialDelays
	switch {
	case e.proven && t.explained(e) && len(policy.ExplainedTrialDelays) > 0:
		delays = policy.ExplainedTrialDelays
	case e.proven && len(policy.ProvenTrialDelays) > 0:
		delays = policy.ProvenTrialDelays
	}
	return e.trialDelayFrom + delays[min(e.failedTrials, len(delays)-1)]
}

// explained reports whether a key that was not harmless before was quarantined shortly before a key
// that was, or since.
func (t *Table) explained(e *entry) bool {
	t.refresh()
	return t.newlyQuarantinedAt > 0 && t.newlyQuarantinedAt >= e.quarantinedAt-explainedWithin
}

// TrialDue reports whether a trial may be granted: a request with a quarantined key that is
// sent to find out whether the key still crashes upstreams.
//
// Quarantined requests can't succeed, since they aren't sent. Without trials, a key that was
// interrupted by unrelated crashes would be refused until its quarantine expires.
func (t *Table) TrialDue(now time.Duration, id Key) bool {
	e := t.entries[id]
	return e != nil && e.status == Quarantined && !t.trialPending(now, id, e) && now >= t.nextTrial(id, e)
}

// trialPending reports whether a trial was granted whose result may still come.
func (t *Table) trialPending(now time.Duration, id Key, e *entry) bool {
	return e.trialGrantedAt != 0 && now < e.trialGrantedAt+t.cfg.policy(id).TrialTimeout
}

// GrantTrial grants a trial if one is due, and reports whether it did. Only the hub of a key may
// call it, so that the routers don't send trials concurrently.
//
// A trial without a result within Policy.TrialTimeout counts as failed.
func (t *Table) GrantTrial(now time.Duration, id Key) bool {
	e := t.entries[id]
	if e == nil || e.status != Quarantined || t.trialPending(now, id, e) {
		return false
	}
	if e.trialGrantedAt != 0 {
		e.failedTrials++
		e.trialDelayFrom = e.trialGrantedAt
		e.trialGrantedAt = 0
	}
	if now < t.nextTrial(id, e) {
		return false
	}
	e.trialGrantedAt = now
	return true
}

// EndTrial ends a trial whose request has ended without a result: it was not sent, or its caller
// left. Only the hub of a key may call it.
//
// The trial of a key that was harmless before comes again after the same delay. That of another one
// counts as failed, since its request may have crashed an upstream after its caller had left.
func (t *Table) EndTrial(now time.Duration, id Key) {
	e := t.entries[id]
	if e == nil || e.status != Quarantined || e.trialGrantedAt == 0 {
		return
	}
	if !e.proven {
		e.failedTrials++
	}
	e.trialGrantedAt, e.trialDelayFrom = 0, now
}

// recordFailedTrial records a crash during a quarantine, and returns a notice with the number
// of failed trials. It ignores crashes while no trial is pending and crashes of requests that
// were sent before the trial was granted: routers may have sent those before they received
// the notice of the quarantine.
func (t *Table) recordFailedTrial(now time.Duration, c Crash, e *entry) (Notice, bool) {
	if e.trialGrantedAt == 0 || c.Sent < e.trialGrantedAt {
		return Notice{}, false
	}
	e.failedTrials++
	e.crashes++
	e.version++
	e.lastCrash = now
	t.stale = true
	t.scheduleQuarantine(now, e, t.cfg.QuarantineDuration)
	return t.notice(now, c.ID, e), true
}

// RetryTrials restarts the trials of a key in quarantine, at an operator's request. It returns a
// notice for the other routers.
func (t *Table) RetryTrials(now time.Duration, id Key) (Notice, bool) {
	e := t.entries[id]
	if e == nil || e.status != Quarantined {
		return Notice{}, false
	}
	e.failedTrials = 0
	e.version++
	t.stale = true
	t.scheduleQuarantine(now, e, t.cfg.QuarantineDuration)
	return t.notice(now, id, e), true
}
