// Package admin implements the operators' HTTP API of a router: status, the bundle
// in force, teams, upstreams, drain, metrics, and a dump of the whole state.
package admin
