// Package peer carries messages between routers: JSON-RPC 2.0 over TCP or mutual
// TLS, one connection a direction, compressed as one stream.
//
// Notifications are best effort: a queue that is full or a connection that
// breaks loses them, and the sequence numbers of package sched find the gap.
// Calls fail at once when there is no connection.
package peer
