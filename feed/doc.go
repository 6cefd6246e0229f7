// Package feed follows what the platform publishes, the configuration and the
// registered upstreams, and knows how fresh its view is.
//
// A few routers of a failure domain read the platform; the others learn from
// them. Each state is dated by the moment at which the read that confirmed it
// was sent, on the clock that counts suspensions, so that no delay on the way
// makes a view look younger than it is.
package feed
