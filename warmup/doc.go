// Package warmup limits the requests that a fleet of routers sends to an upstream that is
// warming up. It is pure: the caller passes the time.
//
// An upstream that has just started tolerates a low rate of requests for a while and crashes
// well above it. Policy.Bound is the most that may arrive in any window of one second, from
// all routers together.
//
// The home of an upstream's group grants the requests one by one from a Bucket. Let b be the
// bucket's burst, r its rate and T the GrantTTL. A router sends within T of the home's
// decision, by the router's own clock alone: it counts from its question, which precedes the
// decision. The requests that arrive in one second were therefore granted within 1s+T, and
// one home grants at most b + r(1+T) of them. Policy.Rate chooses r so that deciders homes
// stay within the bound together: during a partition or a change of homes, two routers may
// each take themselves for the home. More than two do not grant at the same time, because a
// router only grants after it has been the home for TakeoverDelay, and only while it hears
// more than half of the routers that it has known of late. No other router grants at all.
package warmup
