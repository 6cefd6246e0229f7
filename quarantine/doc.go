// Package quarantine identifies what makes requests crash the upstreams they are sent to, and
// decides which requests are no longer sent. It performs no I/O and starts no goroutines; the
// time is always an argument.
//
// A Key is what the requests have in common: a content, which is the same team, method, host, URI
// and body, or a part of their prompts, whatever else they contain. A content is harmless if a
// request with it received its complete response; a part is, if an answer to a prompt with it has
// started. A trial is a request with a quarantined key that is sent to find out whether it still
// crashes upstreams. The hub of a key is the router that counts its crashes across the fleet and
// grants its trials (see package fleet).
package quarantine
