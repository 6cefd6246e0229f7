// Package entry decides when an overloaded router leaves the load balancer, and how many routers of a
// failure domain may be out at the same time. It performs no I/O and starts no goroutines; the time
// is always an argument.
//
// The load balancer assigns each caller's address to one router, so a few addresses of a large team
// may open more new connections than a small VM can accept. Callers that are rejected retry and reach
// the same router, until it is out of the load balancer.
//
// A Gate is a router's own part: it detects the overload, asks for a lease to be out, renews it and
// returns. A Table is the part of the hub that is responsible for the failure domain: it grants the
// leases.
package entry
