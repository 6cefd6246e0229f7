// Package gateway carries callers' requests to upstreams and the answers back.
//
// What it promises: an answer is whole and its own caller's, or visibly not
// complete; a request that must not be repeated is sent once at most; and "not
// run" is only said of a request of which no byte can have reached an upstream,
// or which the upstream itself said it didn't run.
package gateway
