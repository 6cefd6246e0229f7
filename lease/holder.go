package lease

import "time"

// Holder is one router's state of the slots that it holds on one upstream.
//
// Invariant: a request is sent only on a slot that is held, idle, and under a
// lease that has not ended. inUse counts every request on the upstream,
// including those whose lease ended while they ran.
type Holder struct {
	upstream int
	// home is the router that grants the slots now, homeIncarnation its
	// incarnation; a change of either voids the term.
	home            string
	homeIncarnation uint64
	term            uint64
	granted         uint64
	returned        uint64
	recalled        uint64
	inUse           int
	expiry          time.Time
}

// NewHolder returns a holder without slots.
func NewHolder(upstream int) *Holder { return &Holder{upstream: upstream} }

// Home returns the router that grants the slots.
func (h *Holder) Home() string { return h.home }

// HomeIncarnation returns the incarnation of that router.
func (h *Holder) HomeIncarnation() uint64 { return h.homeIncarnation }

// Held returns the number of slots, idle or in use.
func (h *Holder) Held() int { return int(h.granted - h.returned) }

// LeaseExpiry returns the end of the lease.
func (h *Holder) LeaseExpiry() time.Time { return h.expiry }

// InUse returns the number of requests on the upstream.
func (h *Holder) InUse() int { return h.inUse }

// Idle returns the number of slots on which a request may be sent now.
//
// The expiry is checked first: a process that was paused past it would otherwise
// send on a slot that the home has granted to another router, and the upstream
// would run more requests than its limit.
func (h *Holder) Idle(now time.Time) int {
	if !now.Before(h.expiry) {
		return 0
	}
	return max(h.Held()-h.inUse, 0)
}

// Acquire uses an idle slot for a request. The caller must have checked Idle.
func (h *Holder) Acquire() { h.inUse++ }

// Release frees the slot of a request that ended.
func (h *Holder) Release() { h.inUse-- }

// Return returns n idle slots to the home. It fails while no term covers them:
// the new home must accept the claim first.
func (h *Holder) Return(n int) bool {
	if h.term == 0 || n > h.Held()-h.inUse {
		return false
	}
	h.returned += uint64(n)
	return true
}

// SetHome sets the router that grants the slots from now on. Held slots are kept
// until their lease ends, and are claimed from the new home.
func (h *Holder) SetHome(home string, incarnation uint64) {
	if h.home == home && h.homeIncarnation == incarnation {
		return
	}
	h.home, h.homeIncarnation = home, incarnation
	h.convertToClaim()
}

// convertToClaim leaves the term and keeps the slots as a claim.
func (h *Holder) convertToClaim() {
	h.granted = uint64(h.Held())
	h.returned, h.recalled, h.term = 0, 0, 0
}

// ApplyGrant applies the home's message. It returns true if anything changed.
func (h *Holder) ApplyGrant(g Grant) bool {
	if g.Term < h.term {
		return false
	}
	if g.Term > h.term {
		*h = Holder{upstream: h.upstream, home: h.home, homeIncarnation: h.homeIncarnation,
			term: g.Term, granted: g.Granted, recalled: g.Recalled, inUse: h.inUse, expiry: h.expiry}
		return true
	}
	if g.Granted <= h.granted && g.Recalled <= h.recalled {
		return false
	}
	h.granted = max(h.granted, g.Granted)
	h.recalled = max(h.recalled, g.Recalled)
	return true
}

// Recalled returns the number of slots that must be returned as they become
// idle.
func (h *Holder) Recalled() int { return int(max(h.recalled, h.returned) - h.returned) }

// Extend extends the lease to expiry, which is one lease time after an
// acknowledged message was sent.
func (h *Holder) Extend(expiry time.Time) {
	if h.term != 0 && expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// Expire gives up slots whose lease has ended. Running requests continue, and
// their slots are claimed so that the home counts them again. It returns true if
// there were slots to give up.
func (h *Holder) Expire(now time.Time) bool {
	if now.Before(h.expiry) || h.Held() == 0 {
		return false
	}
	h.convertToClaim()
	h.granted = uint64(h.inUse)
	return true
}

// Report returns the report for the home. ok is false if there is nothing to
// report.
func (h *Holder) Report() (r Report, ok bool) {
	r = Report{Upstream: h.upstream, Term: h.term, Returned: h.returned}
	if h.term != 0 {
		return r, h.returned > 0
	}
	r.Claim = max(h.Held(), h.inUse)
	return r, r.Claim > 0
}

// ClaimPending reports whether there are slots that the new home has not yet
// accepted.
func (h *Holder) ClaimPending() bool { return h.term == 0 && max(h.Held(), h.inUse) > 0 }
