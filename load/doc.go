// Package load is a load generator: it sends a seeded plan of requests to the
// routers of a fleet, verifies every response end to end, and reports outcomes,
// latencies, the fairness gap and the control traffic.
package load
