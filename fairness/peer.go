package fairness

// peer holds the reports of one incarnation of another router.
type peer struct {
	name        string
	incarnation uint64
	// unreachable is set while the router is not live: its service still counts,
	// its running and waiting requests don't.
	unreachable bool
	reports     map[TeamID]*reportedUsage
}
