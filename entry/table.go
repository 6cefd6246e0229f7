package entry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// learnTime is how long a new hub grants no leases: each router that is out has renewed its
	// lease at this hub by then, or has returned.
	learnTime = LeaseTTL
	// confirmTime is the time from a router's first request to the decision. In a flood over all
	// routers, the others have reported their overload by then.
	confirmTime = 100 * time.Millisecond
	// overloadMemory is how long a router counts as overloaded after its last request. A router that
	// is refused asks again after refusedInterval.
	overloadMemory = refusedInterval * 3 / 2
	// leaseSlack is added to a lease at the hub, so that it ends at the router first.
	leaseSlack = 500 * time.Millisecond
	// lostMemory is how long a router without contact still counts as unavailable. The load
	// balancer counts it until it is removed from the failure domain.
	lostMemory = time.Minute
	// minSpan is the shortest span that is granted: the load balancer takes two seconds to use the
	// other routers, and one to use this one again.
	minSpan = 4 * time.Second
	// minRouters is the number of routers in a failure domain below which none of them leaves: each
	// would be half of the domain.
	minRouters = 3
	// maxOutFraction limits the routers that are out, and their part of the processor share, so that
	// the others get at most a third more.
	maxOutFraction = 0.25
	// maxUnavailableFraction limits the routers that are out, lost or stopping. At more than a half
	// the load balancer uses all of them; the difference covers losses that the hub has not detected yet.
	maxUnavailableFraction = 0.4
	// minHelped is the number of callers that other routers must be expected to accept for each one
	// that the router accepts now. It is below 1 because the expectation is that of a single caller's
	// address, and a flood from several of them is divided.
	minHelped = 0.9
)

// Router is a router of a failure domain.
type Router struct {
	// Address identifies the VM across restarts.
	Address string
	// Weight is the VM's processor share, in cores.
	Weight float64
	// Available is set if the router is ready unless it has left the load balancer.
	Available bool
}

// vm is a router with its requests and its lease.
type vm struct {
	Router
	seenAt time.Duration
	// firstAskedAt is when its current overload was reported first, overloadedUntil when the last
	// report is too old.
	firstAskedAt, overloadedUntil time.Duration
	// outUntil is when the lease expires, 0 if there is none; spanEnd is the end of the time that was
	// taken from the budget.
	outUntil, spanEnd time.Duration
}

func (v *vm) overloaded(now time.Duration) bool { return now < v.overloadedUntil }

// Table grants leases to the routers of one failure domain. It isn't safe for concurrent use.
type Table struct {
	createdAt time.Duration
	// vms are sorted by address, so that sums don't depend on the order of updates.
	vms    []*vm
	budget budget
}

// NewTable returns the table of a hub that has just become responsible for a failure domain.
func NewTable(now time.Duration, routers []Router) *Table {
	t := &Table{createdAt: now, budget: budget{updatedAt: now}}
	t.Update(now, routers)
	return t
}

// Update sets the routers of the failure domain from which the hub has heartbeats.
func (t *Table) Update(now time.Duration, routers []Router) {
	for _, v := range t.vms {
		v.Available = false
	}
	for _, r := range routers {
		i, found := slices.BinarySearchFunc(t.vms, r.Address, func(v *vm, address string) int { return cmp.Compare(v.Address, address) })
		if !found {
			t.vms = slices.Insert(t.vms, i, &vm{})
		}
		t.vms[i].Router, t.vms[i].seenAt = r, now
	}
	t.vms = slices.DeleteFunc(t.vms, func(v *vm) bool { return now-v.seenAt > lostMemory })
	t.expire(now)
}

// expire ends the leases that weren't renewed.
func (t *Table) expire(now time.Duration) {
	t.budget.update(now, len(t.vms))
	for _, v := range t.vms {
		if v.outUntil != 0 && now >= v.outUntil {
			t.end(now, v)
		}
	}
}

func (t *Table) end(now time.Duration, v *vm) {
	t.budget.refund(v.spanEnd - now)
	v.outUntil, v.spanEnd = 0, 0
}

func (t *Table) find(address string) *vm {
	for _, v := range t.vms {
		if v.Address == address {
			return v
		}
	}
	return nil
}

// Verdict is a hub's decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Wait means that the router gets no answer yet.
	Wait Verdict = iota
	// Grant means that the router may be out for Decision.Span, as long as it renews its lease.
	Grant
	// Refuse means that the router must be ready.
	Refuse
)

// Decision is a hub's decision and what it is based on.
type Decision struct {
	Verdict Verdict
	Span    time.Duration
	Reason  Reason
	Domain  State
}

// Ask decides on a router's request to be out for a span. demand is how many callers come for each
// one that it accepts.
func (t *Table) Ask(now time.Duration, address string, span time.Duration, demand float64) Decision {
	t.expire(now)
	v := t.find(address)
	if v == nil {
		return Decision{Verdict: Refuse, Reason: UnknownRouter, Domain: t.State(now)}
	}
	if v.outUntil != 0 {
		// The grant was lost, or is still on its way.
		v.outUntil = now + LeaseTTL + leaseSlack
		return Decision{Verdict: Grant, Span: v.spanEnd - now, Domain: t.State(now)}
	}
	if !v.overloaded(now) {
		v.firstAskedAt = now
	}
	v.overloadedUntil = now + overloadMemory
	if now-v.firstAskedAt < confirmTime {
		return Decision{Verdict: Wait}
	}
	d := Decision{Verdict: Refuse, Reason: t.objection(now, v, demand), Domain: t.State(now)}
	if d.Reason != NoReason {
		return d
	}
	d.Verdict, d.Span = Grant, min(max(span, 0), MaxSpan, t.budget.left())
	t.lease(now, v, d.Span)
	return d
}

func (t *Table) lease(now time.Duration, v *vm, span time.Duration) {
	v.outUntil, v.spanEnd = now+LeaseTTL+leaseSlack, now+span
	v.overloadedUntil = 0
	t.budget.take(span)
}

// objection returns why a router may not leave, or NoReason.
func (t *Table) objection(now time.Duration, asking *vm, demand float64) Reason {
	if now-t.createdAt < learnTime {
		return HubIsNew
	}
	s := t.stateWithout(now, asking)
	if reason := s.tooManyOut(); reason != NoReason {
		return reason
	}
	switch {
	case s.Routers < minRouters:
		return TooManyOut
	case s.InRotation < (1-maxOutFraction)*s.Processor-rounding:
		return TooLittleProcessor
	case t.acceptedElsewhere(now, asking, demand) < minHelped*asking.Weight-rounding:
		return NoBetterRouter
	case t.budget.left() < minSpan:
		return TimeUsedUp
	}
	return NoReason
}

// acceptedElsewhere returns the processor share that other routers are expected to spend on the callers
// of a router that leaves. The load balancer assigns them to any router in rotation; an overloaded one
// accepts none of them, and routers that are out count like those, since their callers are to be accepted too.
func (t *Table) acceptedElsewhere(now time.Duration, leaving *vm, demand float64) float64 {
	wanted := leaving.Weight * min(max(demand, 1), MaxDemand)
	sum, others := 0.0, 0
	for _, v := range t.vms {
		switch {
		case v == leaving || v.outUntil == 0 && !v.Available:
			continue
		case v.outUntil == 0 && !v.overloaded(now):
			sum += min(wanted, v.Weight)
		}
		others++
	}
	return sum / float64(max(others, 1))
}

// rounding covers the rounding errors of sums of processor shares.
const rounding = 1e-9

// Renew decides whether a router may remain out, for the rest of its span. A new hub thereby receives
// which routers are out.
func (t *Table) Renew(now time.Duration, address string, left time.Duration) Decision {
	t.expire(now)
	v := t.find(address)
	if v == nil {
		return Decision{Verdict: Refuse, Reason: UnknownRouter, Domain: t.State(now)}
	}
	if v.outUntil == 0 {
		t.lease(now, v, min(max(left, 0), MaxSpan))
	}
	s := t.State(now)
	if reason := s.tooManyOut(); reason != NoReason {
		// The answer may be lost: the lease counts until the router ends it, or it expires.
		return Decision{Verdict: Refuse, Reason: reason, Domain: s}
	}
	v.outUntil = now + LeaseTTL + leaseSlack
	return Decision{Verdict: Grant, Span: v.spanEnd - now, Domain: s}
}

// tooManyOut returns whether more routers are out than may be, or NoReason.
func (s *State) tooManyOut() Reason {
	switch {
	case s.Out > max(int(maxOutFraction*float64(s.Routers)), 1):
		return TooManyOut
	case float64(s.Out+s.Unavailable) > maxUnavailableFraction*float64(s.Routers):
		return TooManyUnavailable
	}
	return NoReason
}

// End ends a router's lease. The rest of its span can be granted again.
func (t *Table) End(now time.Duration, address string) {
	if v := t.find(address); v != nil && v.outUntil != 0 {
		t.end(now, v)
	}
	t.expire(now)
}
