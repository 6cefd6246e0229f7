// Package fleet implements the protocol between routers: membership, the age of
// the published state, and the placement of requests.
//
// All messages but the transfer of a complete state are UDP datagrams. A TCP
// connection whose state a middlebox has dropped stays silent for good; datagrams
// have no such state. Every exchange tolerates loss, duplication and delay: a
// heartbeat supersedes the ones before it, placement requests are retried, and a
// request that no home answers is decided by the router that sent it.
//
// daemon.FleetDaemon, the router that reads its configuration and upstreams from the
// platform's store (package feed), uses this package together with packages
// gateway, dispatch and feed. daemon.Daemon, the router configured by signed bundles, uses
// packages callers, router, sched and lease instead.
package fleet
