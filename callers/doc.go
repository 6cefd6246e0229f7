// Package callers implements the HTTP API for the teams' requests: the
// OpenAI-compatible API for models, and plain services under /services/.
//
// The package is used by daemon.Daemon, the router configured by signed bundles.
// daemon.FleetDaemon, the router that reads its configuration and upstreams from the
// platform's store (package feed), uses packages gateway, fleet, dispatch and feed
// instead.
package callers
