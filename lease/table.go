package lease

import (
	"maps"
	"slices"
	"time"
)

// Grant is the message of a home to a holder: the total of slots granted so far
// in a term.
type Grant struct {
	Upstream int    `json:"u"`
	Term     uint64 `json:"t"`
	Granted  uint64 `json:"g"`
	// Recalled is how many of the granted slots must be returned as they become
	// idle.
	Recalled uint64 `json:"r,omitempty"`
}

// Report is the message of a holder to the home: the total of slots returned so
// far in a term. With term 0 it is a claim: the holder has Claim slots that no
// term covers.
type Report struct {
	Upstream int    `json:"u"`
	Term     uint64 `json:"t,omitempty"`
	Returned uint64 `json:"r,omitempty"`
	Claim    int    `json:"c,omitempty"`
}

// holderRecord is the table's state of one holder.
type holderRecord struct {
	incarnation uint64
	term        uint64
	granted     uint64
	returned    uint64
	recalled    uint64
	expiry      time.Time
}

func (h *holderRecord) held() int { return int(h.granted - h.returned) }

// Table is the lease table of one upstream at its home.
//
// Invariant: after the grace period, granted and free slots add up to the limit,
// or no slot is free and more than the limit are granted.
type Table struct {
	upstream int
	limit    int
	// graceEnd is the end of the grace period, during which no free slot is granted,
	// but claims of slots that holders already have are accepted. Slots that no
	// holder has claimed by its end count as free.
	graceEnd time.Time
	lastTerm uint64
	holders  map[string]*holderRecord
}

// NewTable returns the table of a router that becomes home now. Its terms start
// after lastTerm. Slots that an earlier home may have granted are not available
// until graceEnd, one lease time ahead: a holder that cannot reach this home could
// still use them until then.
func NewTable(upstream, limit int, lastTerm uint64, graceEnd time.Time) *Table {
	return &Table{
		upstream: upstream,
		limit:    limit,
		graceEnd: graceEnd,
		lastTerm: lastTerm,
		holders:  map[string]*holderRecord{},
	}
}

// EndGrace ends the grace period early. The caller must have ensured that all
// holders have claimed their slots.
func (t *Table) EndGrace(now time.Time) {
	if now.Before(t.graceEnd) {
		t.graceEnd = now
	}
}

// SetLimit sets the number of slots of the upstream.
func (t *Table) SetLimit(n int) { t.limit = n }

// LastTerm returns the last term in use; the next table of this home starts
// after it.
func (t *Table) LastTerm() uint64 { return t.lastTerm }

// Limit returns the number of slots of the upstream.
func (t *Table) Limit() int { return t.limit }

// Granted returns the number of slots that holders have or may have.
func (t *Table) Granted() int {
	n := 0
	for _, h := range t.holders {
		n += h.held()
	}
	return n
}

// Free returns the number of slots that may be granted now.
func (t *Table) Free(now time.Time) int {
	if now.Before(t.graceEnd) {
		return 0
	}
	return max(t.limit-t.Granted(), 0)
}

// Grant grants n more slots to a router and returns the message for it. The
// caller must have checked Free.
func (t *Table) Grant(router string, incarnation uint64, n int, expiry time.Time) Grant {
	h := t.recordFor(router, incarnation, expiry)
	h.granted += uint64(n)
	return t.grantFor(h)
}

// grantFor returns the message with the current counters of a holder.
func (t *Table) grantFor(h *holderRecord) Grant {
	return Grant{Upstream: t.upstream, Term: h.term, Granted: h.granted, Recalled: h.recalled}
}

// Recall recalls the slots granted beyond the limit, from the routers with the
// most slots first, and returns the routers to notify. A slot is returned when
// its request ends, so lowering the limit interrupts no request.
func (t *Table) Recall() []string {
	var notify []string
	for excess := t.Granted() - t.pendingRecalls() - t.limit; excess > 0; excess-- {
		name := t.largestHolder()
		if name == "" {
			break
		}
		h := t.holders[name]
		h.recalled = max(h.recalled, h.returned) + 1
		if !slices.Contains(notify, name) {
			notify = append(notify, name)
		}
	}
	return notify
}

// pendingRecalls returns the number of slots that were recalled and not yet
// returned.
func (t *Table) pendingRecalls() int {
	n := 0
	for _, h := range t.holders {
		n += h.pendingRecalls()
	}
	return n
}

func (h *holderRecord) pendingRecalls() int { return int(max(h.recalled, h.returned) - h.returned) }

// largestHolder returns the router with the most slots that are not recalled.
func (t *Table) largestHolder() string {
	name, most := "", 0
	for _, router := range t.Holders() {
		h := t.holders[router]
		if n := h.held() - h.pendingRecalls(); n > most {
			name, most = router, n
		}
	}
	return name
}

// CurrentGrant returns the current grant of a router, for retransmission.
func (t *Table) CurrentGrant(router string, incarnation uint64) (Grant, bool) {
	h, ok := t.holders[router]
	if !ok || h.incarnation != incarnation {
		return Grant{}, false
	}
	return t.grantFor(h), true
}

// recordFor returns the record of the router's incarnation, and creates it if
// there is none. Slots of an earlier incarnation are void: they ended with its
// process.
func (t *Table) recordFor(router string, incarnation uint64, expiry time.Time) *holderRecord {
	h, ok := t.holders[router]
	if ok && h.incarnation == incarnation {
		return h
	}
	t.lastTerm++
	h = &holderRecord{incarnation: incarnation, term: t.lastTerm, expiry: expiry}
	t.holders[router] = h
	return h
}

// ApplyReport applies a holder's report. For a claim it returns the grant to
// answer with and true.
func (t *Table) ApplyReport(router string, incarnation uint64, r Report, expiry time.Time) (Grant, bool) {
	if r.Term == 0 {
		return t.acceptClaim(router, incarnation, r.Claim, expiry), true
	}
	h, ok := t.holders[router]
	if !ok || h.incarnation != incarnation || h.term != r.Term {
		return Grant{}, false
	}
	h.returned = min(max(h.returned, r.Returned), h.granted)
	return Grant{}, false
}

// acceptClaim starts a new term with the slots that the holder reports: only the
// holder has this state.
func (t *Table) acceptClaim(router string, incarnation uint64, n int, expiry time.Time) Grant {
	delete(t.holders, router)
	h := t.recordFor(router, incarnation, expiry)
	h.granted = uint64(max(n, 0))
	return t.grantFor(h)
}

// Renew extends the lease of the router's slots to expiry, which is one lease
// time after its last message.
func (t *Table) Renew(router string, incarnation uint64, expiry time.Time) {
	if h, ok := t.holders[router]; ok && h.incarnation == incarnation && expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// Expire frees the slots of routers that have been silent for a lease time.
// Their own leases ended earlier, so they send no more requests on these slots.
func (t *Table) Expire(now time.Time) {
	for name, h := range t.holders {
		if now.After(h.expiry) {
			delete(t.holders, name)
		}
	}
}

// Holders returns the routers that hold slots, sorted by name.
func (t *Table) Holders() []string { return slices.Sorted(maps.Keys(t.holders)) }

// Held returns the number of slots of a router.
func (t *Table) Held(router string) int {
	if h, ok := t.holders[router]; ok {
		return h.held()
	}
	return 0
}
