// Package feed maintains a local copy of what the platform publishes, the
// configuration and the registered upstreams, and tracks its age.
//
// A few routers of a failure domain read the platform; the others receive the
// state from them. A state is dated by the time at which the read that confirmed
// it was sent, on a clock that includes VM suspensions, so that network or
// processing delays never make it appear younger than it is.
package feed
