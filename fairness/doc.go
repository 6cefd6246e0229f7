// Package fairness keeps the service accounts of teams and the queue of waiting
// requests, and selects the team to serve next.
//
// The package is pure: it starts no goroutine, does no I/O and reads no clock.
// Every method that needs the time takes it as an argument. Values are not safe
// for concurrent use; the control goroutine of a router owns them.
//
// Teams are ordered as in start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM
// 1996), on counters that are charged while a request runs, as in the virtual
// token counter (Sheng et al., OSDI 2024). Service is counted in slot seconds:
// slots are the scarce resource, and their time is measured locally rather than
// declared by a client or an upstream. Routers exchange service by dead
// reckoning: a report carries the number of running requests along with the
// service, receivers extrapolate from both, and a report is sent again only when
// the actual service deviates from that extrapolation.
package fairness
