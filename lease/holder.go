package lease

import "time"

// Holder is one router's slots of one upstream.
//
// Invariant: a request is sent only on a slot that is held, idle, and under a
// lease that has not ended; inUse counts every request on the upstream, also
// those whose lease ended while they ran.
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

// NewHolder returns a holding without slots.
func NewHolder(upstream int) *Holder { return &Holder{upstream: upstream} }

// Home is the router that grants the slots.
func (h *Holder) Home() string { return h.home }

// HomeIncarnation is the incarnation of that router.
func (h *Holder) HomeIncarnation() uint64 { return h.homeIncarnation }

// Held is the number of slots, idle or in use.
func (h *Holder) Held() int { return int(h.granted - h.returned) }

// LeaseExpiry is when the lease ends.
func (h *Holder) LeaseExpiry() time.Time { return h.expiry }

// InUse is the number of requests on the upstream.
func (h *Holder) InUse() int { return h.inUse }

// Idle is the number of slots that a request may be sent on now.
//
// The check of the end comes first: a process that was paused past it would
// otherwise send on a slot that the home has given to another router, and the
// upstream would run more than its limit.
func (h *Holder) Idle(now time.Time) int {
	if !now.Before(h.expiry) {
		return 0
	}
	return max(h.Held()-h.inUse, 0)
}

// Acquire takes an idle slot for a request; the caller has checked Idle.
func (h *Holder) Acquire() { h.inUse++ }

// Release frees the slot of a request that ended.
func (h *Holder) Release() { h.inUse-- }

// Return gives n idle slots back to the home. It fails while no term covers
// them: the new home must take in the claim first.
func (h *Holder) Return(n int) bool {
	if h.term == 0 || n > h.Held()-h.inUse {
		return false
	}
	h.returned += uint64(n)
	return true
}

// SetHome names the router that grants the slots from now on. Slots held are
// kept until their lease ends and claimed from the new home.
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

// ApplyGrant takes in the home's word. It returns true if anything changed.
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

// Recalled is the number of slots that must go back as they fall idle.
func (h *Holder) Recalled() int { return int(max(h.recalled, h.returned) - h.returned) }

// Extend sets the end of the lease after an acknowledged message that was sent
// one lease time before until.
func (h *Holder) Extend(until time.Time) {
	if h.term != 0 && until.After(h.expiry) {
		h.expiry = until
	}
}

// Expire gives up slots whose lease has ended. Requests that run go on and are
// claimed, so that the home counts them again.
func (h *Holder) Expire(now time.Time) bool {
	if now.Before(h.expiry) || h.Held() == 0 {
		return false
	}
	h.convertToClaim()
	h.granted = uint64(h.inUse)
	return true
}

// Report is what the home must know. ok is false when there is nothing to say.
func (h *Holder) Report() (r Report, ok bool) {
	r = Report{Upstream: h.upstream, Term: h.term, Returned: h.returned}
	if h.term != 0 {
		return r, h.returned > 0
	}
	r.Claim = max(h.Held(), h.inUse)
	return r, r.Claim > 0
}

// ClaimPending reports whether the slots wait for a new home's word.
func (h *Holder) ClaimPending() bool { return h.term == 0 && max(h.Held(), h.inUse) > 0 }
