// Package bundlefeed is a read-only client of the platform's configuration service.
// The platform is the external service that publishes the configuration, here as a
// signed bundle, and the list of VMs. The client watches the bundle by long polling
// and reads the list, which may be out of date.
package bundlefeed
