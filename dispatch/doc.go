// Package dispatch decides which upstream a request goes to, when, and whether
// it can be served at all. It is pure: no I/O, no goroutines, the time is an
// argument.
//
// One router, the home, runs a Core for a group of upstreams and sees every
// request for them, so its model of an upstream needs no reports: it knows what
// is unread, what runs and which prompt parts are cached. The routers ask it
// before they send and tell it of starts and ends. What it decides is advice:
// whether an upstream may be used at all is checked by the router that sends.
package dispatch
