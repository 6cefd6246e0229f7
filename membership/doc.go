// Package membership tells which VMs of the fleet are live and which of them is
// the home of what.
//
// The platform's list of VMs lags, so it seeds the view and no more: heartbeats
// between the routers decide who is live. A VM that was heard is live although
// the list doesn't name it yet; a listed VM that falls silent is suspected.
//
// The package is pure: the time is an argument everywhere.
package membership
