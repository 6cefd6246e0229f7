// Package bundlefeed reads what the users publish: the signed bundle, by a waiting
// watch, and the lagging list of VMs. It never writes.
package bundlefeed
