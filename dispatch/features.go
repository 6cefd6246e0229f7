package dispatch

// Features are the decisions that a deployment's settings enable. Without any of them, a core
// decides as if it didn't have them.
type Features struct {
	// Locality prefers upstreams in the failure domain of the router that received a request.
	Locality bool
	// Reservations keeps room for refused requests until the time at which their callers were
	// asked to retry.
	Reservations bool
	// Handover lets a group without room name another group of the service that may have some.
	Handover bool
	// LoadReports uses the load that upstreams state in their responses.
	LoadReports bool
}
