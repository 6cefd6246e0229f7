// Package fairness keeps the service accounts of teams and the queue of
// waiting requests, and tells which team goes next.
//
// The package is pure: it starts no goroutine, does no I/O and reads no
// clock. Every method that needs the time takes it as an argument. Values are
// not safe for concurrent use; the control goroutine of a router owns them.
//
// The order is that of start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM
// 1996) on counters that are charged while a request runs, as in the virtual
// token counter (Sheng et al., OSDI 2024). Service is counted in slot seconds:
// slots are what is scarce, their time is measured here and not told by anybody,
// and it is charged while a request runs. What each router tells the others is
// dead reckoned: a report carries the running requests beside the service, and is
// sent again only when the service has left the line that readers draw with them.
package fairness
