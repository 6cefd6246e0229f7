// Package peer transports messages between routers: JSON-RPC 2.0 over TCP or mutual
// TLS, with one connection per direction, compressed as one stream.
//
// Notifications are best effort: they are lost if a queue is full or a connection
// breaks, and the sequence numbers of package sched detect the gap. A call without an
// open connection opens one; it fails if that isn't possible within DialTimeout.
package peer
