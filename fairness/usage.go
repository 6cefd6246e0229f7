package fairness

// TeamID identifies a team on the wire. Operators choose it in the bundle and
// must not reuse it for another team: a report made under an older bundle
// version would be charged to the wrong team.
type TeamID int

// Usage is one team's service and requests at one router in one pool.
type Usage struct {
	// Service is the slot time charged so far, in seconds: how long the team's
	// requests have held slots. It never decreases within one incarnation, so
	// that reports merge by maximum.
	Service float64
	// Running counts the requests that hold a slot.
	Running int
	// Waiting counts the requests in the router's queue.
	Waiting int
}
