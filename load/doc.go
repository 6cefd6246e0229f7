// Package load is a fleet's callers: it sends a seeded plan of requests to the
// routers, checks every answer end to end, and reports what the brief measures.
package load
