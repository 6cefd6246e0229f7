// Package bundlefeed is a read-only client of the users' configuration service. It
// watches the signed bundle by long polling and reads the list of VMs, which may be
// out of date.
package bundlefeed
