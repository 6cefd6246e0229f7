package lease

import (
	"maps"
	"slices"
	"time"
)

// Grant is what a home tells a holder: the slots granted so far in a term.
type Grant struct {
	Upstream int    `json:"u"`
	Term     uint64 `json:"t"`
	Granted  uint64 `json:"g"`
	// Recalled is how many of the granted slots must come back as they fall idle.
	Recalled uint64 `json:"r,omitempty"`
}

// Report is what a holder tells the home: the slots returned so far in a term.
// With term 0 it is a claim: the holder has Claim slots that no term covers.
type Report struct {
	Upstream int    `json:"u"`
	Term     uint64 `json:"t,omitempty"`
	Returned uint64 `json:"r,omitempty"`
	Claim    int    `json:"c,omitempty"`
}

// holderRecord is a book's side of one relation.
type holderRecord struct {
	incarnation uint64
	term        uint64
	granted     uint64
	returned    uint64
	recalled    uint64
	expiry      time.Time
}

func (h *holderRecord) held() int { return int(h.granted - h.returned) }

// Table is the lease book of one upstream at its home.
//
// Invariant: while the book is open, the slots it believes granted and those it
// calls free add up to the limit, or free is zero and more are granted.
type Table struct {
	upstream int
	limit    int
	// graceEnd is when slots that nobody claimed count as free.
	graceEnd time.Time
	lastTerm uint64
	holders  map[string]*holderRecord
}

// NewTable returns the book of a home that begins now. Slots that an earlier
// home may have granted stay closed until opensAt, one lease time ahead: a
// holder cut off from this home could still use them until then.
func NewTable(upstream, limit int, firstTerm uint64, opensAt time.Time) *Table {
	return &Table{
		upstream: upstream,
		limit:    limit,
		graceEnd: opensAt,
		lastTerm: firstTerm,
		holders:  map[string]*holderRecord{},
	}
}

// EndGrace ends the wait for an earlier home's leases; the caller knows all holders.
func (b *Table) EndGrace(now time.Time) {
	if now.Before(b.graceEnd) {
		b.graceEnd = now
	}
}

// SetLimit changes how many slots the upstream has.
func (b *Table) SetLimit(n int) { b.limit = n }

// LastTerm is the last term begun; the next book of this home starts after it.
func (b *Table) LastTerm() uint64 { return b.lastTerm }

// Limit is the number of slots.
func (b *Table) Limit() int { return b.limit }

// Granted is the number of slots that holders have or may have.
func (b *Table) Granted() int {
	n := 0
	for _, h := range b.holders {
		n += h.held()
	}
	return n
}

// Free is the number of slots that may be granted now.
func (b *Table) Free(now time.Time) int {
	if now.Before(b.graceEnd) {
		return 0
	}
	return max(b.limit-b.Granted(), 0)
}

// Grant gives n slots to a router and returns what to tell it. The caller has
// checked Free.
func (b *Table) Grant(router string, incarnation uint64, n int, until time.Time) Grant {
	h := b.recordFor(router, incarnation, until)
	h.granted += uint64(n)
	return b.grantFor(h)
}

// grantFor is what a holder is told.
func (b *Table) grantFor(h *holderRecord) Grant {
	return Grant{Upstream: b.upstream, Term: h.term, Granted: h.granted, Recalled: h.recalled}
}

// Recall asks the routers with most slots to give back what is granted beyond
// the limit, and returns those that must be told. A slot comes back when its
// request ends, so a smaller limit cuts nothing.
func (b *Table) Recall() []string {
	var told []string
	for excess := b.Granted() - b.pendingRecalls() - b.limit; excess > 0; excess-- {
		name := b.largestHolder()
		if name == "" {
			break
		}
		h := b.holders[name]
		h.recalled = max(h.recalled, h.returned) + 1
		if !slices.Contains(told, name) {
			told = append(told, name)
		}
	}
	return told
}

// pendingRecalls counts slots that were recalled and have not come back yet.
func (b *Table) pendingRecalls() int {
	n := 0
	for _, h := range b.holders {
		n += h.pendingRecalls()
	}
	return n
}

func (h *holderRecord) pendingRecalls() int { return int(max(h.recalled, h.returned) - h.returned) }

// largestHolder is the router with most slots that are not recalled.
func (b *Table) largestHolder() string {
	name, most := "", 0
	for _, router := range b.Holders() {
		h := b.holders[router]
		if n := h.held() - h.pendingRecalls(); n > most {
			name, most = router, n
		}
	}
	return name
}

// CurrentGrant returns the grant in force for a router, to be told again.
func (b *Table) CurrentGrant(router string, incarnation uint64) (Grant, bool) {
	h, ok := b.holders[router]
	if !ok || h.incarnation != incarnation {
		return Grant{}, false
	}
	return b.grantFor(h), true
}

// recordFor returns the relation with the router's incarnation, a new one where
// there is none. What an earlier incarnation held is void: it ended with the
// process.
func (b *Table) recordFor(router string, incarnation uint64, until time.Time) *holderRecord {
	h, ok := b.holders[router]
	if ok && h.incarnation == incarnation {
		return h
	}
	b.lastTerm++
	h = &holderRecord{incarnation: incarnation, term: b.lastTerm, expiry: until}
	b.holders[router] = h
	return h
}

// ApplyReport takes in what a holder says. It returns the grant to answer a claim with.
func (b *Table) ApplyReport(router string, incarnation uint64, r Report, until time.Time) (Grant, bool) {
	if r.Term == 0 {
		return b.acceptClaim(router, incarnation, r.Claim, until), true
	}
	h, ok := b.holders[router]
	if !ok || h.incarnation != incarnation || h.term != r.Term {
		return Grant{}, false
	}
	h.returned = min(max(h.returned, r.Returned), h.granted)
	return Grant{}, false
}

// acceptClaim begins a new term with what the holder says it has: it alone knows.
func (b *Table) acceptClaim(router string, incarnation uint64, n int, until time.Time) Grant {
	delete(b.holders, router)
	h := b.recordFor(router, incarnation, until)
	h.granted = uint64(max(n, 0))
	return b.grantFor(h)
}

// Renew extends every slot of the router: it was heard at until less a lease time.
func (b *Table) Renew(router string, incarnation uint64, until time.Time) {
	if h, ok := b.holders[router]; ok && h.incarnation == incarnation && until.After(h.expiry) {
		h.expiry = until
	}
}

// Expire takes back the slots of routers that were not heard for a lease time.
// Their own leases ended before, so they send nothing more on these slots.
func (b *Table) Expire(now time.Time) {
	for name, h := range b.holders {
		if now.After(h.expiry) {
			delete(b.holders, name)
		}
	}
}

// Holders returns the routers that hold slots, sorted.
func (b *Table) Holders() []string { return slices.Sorted(maps.Keys(b.holders)) }

// Held is the number of slots a router has.
func (b *Table) Held(router string) int {
	if h, ok := b.holders[router]; ok {
		return h.held()
	}
	return 0
}
