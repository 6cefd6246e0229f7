// Package harness has the stand-ins of the review's scripts: the platform's store and its operator,
// upstreams, callers, and router processes on loopback. It follows the users' pages and isn't part of
// the product.
package harness
