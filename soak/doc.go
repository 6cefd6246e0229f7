// Package soak runs routers as separate processes on loopback, injects faults from
// a seeded plan, and checks what callers and upstreams observed.
//
// Planning and checking have no side effects. The rest starts processes, sends them
// signals, and proxies connections through links that delay, reset, block or stall
// them. The store and the upstreams are stand-ins inside the soak process, so that
// executions are counted where they happen. Links between routers are not proxied,
// since all routers use the same peer port, each at its own address; a paused router
// simulates one that its peers can't reach.
package soak

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("soak")
