// Package fleet is what the routers tell each other: who is alive, how fresh
// the published state is, and where requests are placed.
//
// Everything but the transfer of a whole state goes in UDP datagrams. A
// connection that something on the way has forgotten goes silent for good; a
// datagram has no such state, and every exchange here may be lost, doubled or
// late: heartbeats replace each other, questions are asked again, and a question
// that nobody answers is decided by the router that asked.
package fleet
