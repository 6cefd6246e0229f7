// Package router ties the decision core to the world. One control goroutine owns
// all control state: the scheduler node, the bundle acceptor, the idempotency
// voter and answers. Handlers of traffic talk to it by typed messages.
package router
