// Package soak runs routers as separate processes on loopback, hurts them from
// outside by a seeded plan, and checks what callers and upstreams saw.
//
// The plan and the checks are pure; the rest starts processes, signals them, and
// passes connections through proxies that delay, reset, cut or silence them. The
// store and the upstreams are stand-ins within the soak's own process, so that
// what ran is counted where it ran. Links between routers are not proxied, since
// every router has the same port at an address of its own: a router that is
// paused stands for one that its peers don't hear.
package soak

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("soak")
