package fairness

// TeamID names a team on the wire. Operators choose it in the bundle and never
// use it again for another team, so that a report made under an older bundle
// version cannot be charged to the wrong team.
type TeamID int

// Usage is what one router knows of one team in one pool.
type Usage struct {
	// Service is the slot time charged so far, in seconds: how long the team's
	// requests have held slots. It only grows within one incarnation, so that
	// reports merge by maximum.
	Service float64
	// Running counts the requests that hold a slot.
	Running int
	// Waiting counts the requests in the router's queue.
	Waiting int
}
