// Package resumption decides at which software version a broken stream may go on.
//
// What two versions of a service's software write doesn't fit into one stream, and upstreams don't
// check it. A caller that continues a stream names the attempt that began it, at any router; the
// router that served that attempt may have ended. Each router therefore sends to some others, in
// several failure domains, which version began a stream (Holders), and these record it for a while
// (Table). A router that gets a continuation asks them (Query). If none has a record, the stream may
// still continue where no other version can have started it (History); otherwise it must not run.
//
// The package performs no I/O and starts no goroutines; the time is always an argument.
package resumption
