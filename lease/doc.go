// Package lease implements the leases that decide which router may use which
// slots of an upstream.
//
// Every upstream has a home: the live router selected by rendezvous hashing. The
// home's Table grants slots; a router's Holder uses them, keeps them idle and
// returns them. Both sides keep counters that only grow (granted by the home,
// returned by the holder), so messages may be lost, duplicated or delayed
// without creating or losing a slot. A term numbers each relation between a
// table and a holder, and counters of another term are void. See Gray and
// Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
// cache consistency", SOSP 1989.
//
// Package dispatch uses "home" for the router that decides for a group of upstreams;
// here it is one router for each upstream.
//
// Safety: a holder measures its lease from the time it sent the message that the
// home acknowledged; the home measures it from the time it received that
// message. The holder's lease therefore ends first, provided that both clocks
// run at about the same rate, and a process that was paused finds its lease
// expired before it sends anything.
//
// The package is pure: it reads no clock, and methods that need the time take it
// as an argument.
//
// The package is used by daemon.Daemon, the router configured by signed bundles.
// daemon.FleetDaemon, the router on the users' platform, uses packages gateway,
// fleet, dispatch and feed instead.
package lease
