// Package overhead measures the latency, CPU time and memory that one router adds to a
// request: the same streams are sent directly to a stand-in engine and through a router,
// in one run on loopback.
package overhead
