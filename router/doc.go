// Package router connects the scheduler to the network. A single control goroutine
// owns all control state: the scheduler node, the bundle acceptor, the idempotency
// voter and the idempotency records. Request handlers send it typed messages.
package router
