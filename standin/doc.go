// Package standin provides small fakes of the systems that aspenswitch works with: the platform's
// configuration service and metadata store, model engines, and plain services. They are only
// used by tests, load tests and the demo.
package standin
