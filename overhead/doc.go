// Package overhead measures what one router adds to a request: the same streams
// go straight to a stand-in engine and through a router, in one run on loopback.
package overhead
