// Package feed maintains a local copy of what the platform publishes, the
// configuration and the registered upstreams, and tracks its age. The platform is
// the external service that publishes the configuration and the list of running
// upstreams.
//
// In normal operation, at most two routers of the fleet (the readers) read the
// platform. The leader of each failure domain gets the state from a reader and
// passes it to the rest of its domain; package fleet chooses leaders and readers. A
// router without a state, or whose state is older than Config.MaxFollowerAge, reads
// the platform itself.
//
// The age of a state counts from when the read that confirmed it was sent. The clock
// keeps running while the VM is suspended. So neither network or processing delays
// nor a suspension makes a state appear younger than it is.
//
// The package is used by daemon.FleetDaemon, the router that reads its configuration
// and upstreams from the platform's store.
// daemon.Daemon, the router configured by signed bundles, uses package bundlefeed
// instead.
package feed
