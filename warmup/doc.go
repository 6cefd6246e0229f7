// Package warmup limits the requests that a fleet of routers sends to an upstream that is
// warming up. It performs no I/O and starts no goroutines; the time is always an argument.
//
// An upstream that has just started tolerates only a low rate of requests for some time, and
// crashes at rates well above it. Policy.Bound is the maximum number of requests from all
// routers together that may arrive within any second.
//
// The home of an upstream's group, the router that admits requests to it, grants them one by
// one from a Bucket. Let b be the bucket's burst, r its rate and T the GrantTTL. A router sends
// a request within T of the home's decision. It only needs its own clock for this: it measures T
// from when it requested admission, which precedes the decision. The requests that arrive within
// one second were therefore granted within 1s+T, and one home grants at most b + r(1+T) of them.
//
// Policy.Rate chooses r so that maxConcurrentHomes homes together stay within the bound: during
// a network partition or a change of homes, two routers may both act as the home. No more than
// two grant at the same time, because a router only grants after it has been the home for
// TakeoverDelay, and only while it receives messages from more than half of the routers that it
// recently had contact with. Routers that aren't the home never grant.
//
// An upstream may have to warm up again at any moment, and while the platform can't be read no
// entry shows. Then each home sends at most Policy.RequestsPerProbe requests between two probes
// (see Probing), so that two of them stay within the bound before a probe shows it.
package warmup
