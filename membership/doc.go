// Package membership tracks which VMs of the fleet are live and assigns each key a
// home, the VM that owns it.
//
// The platform's list of VMs (see package bundlefeed) lags, so it only seeds the view:
// heartbeats between the routers determine which VMs are live. A VM that sends messages
// is live even if the list doesn't include it yet; a listed VM that stops sending is
// suspected.
//
// The package does no I/O and reads no clock: the time is always an argument.
package membership
