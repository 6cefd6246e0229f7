package entry

// Reason is why a router may not leave the load balancer, or why it returns. Its values are encoded
// in messages between routers.
type Reason uint8

// Reasons.
const (
	// NoReason is the zero value.
	NoReason Reason = iota
	// HubIsNew means that the hub has not received yet which routers are out.
	HubIsNew
	// UnknownRouter means that the hub has no router at the address in the failure domain.
	UnknownRouter
	// TooManyOut means that as many routers are out as may be.
	TooManyOut
	// TooManyUnavailable means that routers are unavailable, so that the load balancer could come to use all of
	// them whether they are ready or not.
	TooManyUnavailable
	// TooLittleProcessor means that the routers in rotation would have too little of the processor share of
	// those that are available.
	TooLittleProcessor
	// NoBetterRouter means that other routers would accept fewer of the callers: they are weaker, or
	// overloaded.
	NoBetterRouter
	// TimeUsedUp means that routers of the failure domain have been out for as long as they may.
	TimeUsedUp
	// SpanOver means that the time for which the router left is over.
	SpanOver
	// LeaseExpired means that no hub has renewed the lease.
	LeaseExpired
	// NotServing means that the router is stopping, or has no recent state.
	NotServing
	// NotOverloaded means that the router isn't overloaded any more.
	NotOverloaded
)

// String returns the reason as in logs.
func (r Reason) String() string {
	names := [...]string{
		"none", "hub_is_new", "unknown_router", "too_many_out", "too_many_unavailable", "too_little_processor",
		"no_better_router", "time_used_up", "span_over", "lease_expired", "not_serving", "not_overloaded",
	}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}
