// Package resumption decides at which software version a broken stream may go on.
//
// What two versions of a service's software write doesn't fit into one stream, and upstreams don't
// check it. A caller that continues a stream names the attempt that began it, at any router; the
// router that served that attempt may be gone. Each router therefore tells some others, in several
// failure domains, which version began a stream (Holders), and these remember it for a while
// (Table). A router that gets a continuation asks them (Query). If none knows, the stream may still
// go on where no other version can have begun it (History); otherwise it must not run.
//
// The package performs no I/O and starts no goroutines; the time is always an argument.
package resumption
