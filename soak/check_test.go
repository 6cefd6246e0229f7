package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/standin"
)

const second = time.Second

// violated returns the names of the invariants that a history violates.
func violated(h *History) []string {
	var names []string
	for _, v := range Check(h, DefaultConfig().Bounds, 20*second, 30*second) {
		names = append(names, v.Invariant)
	}
	return names
}

// healthyHistory returns a history without violations: one request after the faults have ended.
func healthyHistory() *History {
	return &History{Requests: []Request{{
		ID: "ok", Kind: Repeatable, Key: fixedKey, Sent: 28 * second, Ended: 28*second + 20*time.Millisecond, Status: http.StatusOK, Complete: true,
	}}}
}

// atMostOnceRequest returns a successful request that change has altered.
func atMostOnceRequest(change func(*Request)) Request {
	r := Request{ID: "b", Kind: AtMostOnce, Prefix: "/book/", Key: fixedKey, Sent: 10 * second, Ended: 10*second + 50*time.Millisecond, Status: http.StatusOK, Complete: true}
	change(&r)
	return r
}

func run(upstream, service string, at time.Duration) Run {
	return Run{Request: "b", Upstream: upstream, Service: service, Began: at, Ended: at + 10*time.Millisecond}
}

// Guards against a check that finds nothing in a history that violates its invariant, which
// would let every seed pass. Each case violates one invariant and no other.
func TestEachCheckReportsItsViolation(t *testing.T) {
	at := 10 * second
	for invariant, violate := range map[string]func(*History){
		"whole answer to its own request": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Defect = "the answer to c" }))
		},
		"refused is not run": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Status = http.StatusServiceUnavailable }))
			h.Runs = append(h.Runs, run("u0-1", services[0], at))
		},
		"runs once": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(*Request) {}))
			h.Runs = append(h.Runs, run("u0-1", services[0], at), run("u1-1", services[0], at))
		},
		"keys end in time": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Key = "key-0" }))
			h.Runs = append(h.Runs, run("u0-1", services[0], at))
			h.RevokedKeys = []Change{{Name: "key-0", At: 4 * second}}
			// No fault excuses serving a key beyond the bound.
			h.FaultIntervals = []FaultInterval{{Kind: RouterPause, From: 5 * second, To: 11 * second}}
		},
		"leaving upstreams get no work": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(*Request) {}))
			h.Runs = append(h.Runs, run("u0-1", services[0], at))
			h.Departures = []Change{{Name: "u0-1", At: 7 * second}}
		},
		"answered in time": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Ended = r.Sent + requestTimeout + second }))
		},
		"nothing is cut": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Complete, r.Status, r.Ended = false, 0, r.Sent+second }))
		},
		"what is allowed is not denied": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Status = http.StatusNotFound }))
		},
		"changes are in force in time": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Kind = Moving }))
			h.Runs = append(h.Runs, run("u0-1", services[0], at))
			h.RouteMoves = []Change{{Name: services[1], At: 7 * second}}
		},
		"configuration never goes back": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Key = "key-1" }),
				atMostOnceRequest(func(r *Request) {
					r.ID, r.Key, r.Sent, r.Ended, r.Status = "c", "key-1", 11*second, 11*second, http.StatusUnauthorized
				}))
			h.Runs = append(h.Runs, run("u0-1", services[0], at))
			// Neither the revocation of another key nor a pause of the router is an excuse.
			h.RevokedKeys = []Change{{Name: "key-0", At: 10 * second}}
			h.FaultIntervals = []FaultInterval{{Kind: RouterPause, From: 10 * second, To: 11 * second}}
		},
		"retries stay within the budget": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Kind = Repeatable }))
			for range 60 {
				h.Runs = append(h.Runs, run("u0-1", services[0], at))
			}
		},
		"work ends when callers leave": func(h *History) {
			for i := range minAbandonedRuns {
				r := atMostOnceRequest(func(r *Request) { r.Kind, r.Abandoned, r.Complete = ResumableStream, true, false })
				r.ID += string(rune('0' + i))
				h.Requests = append(h.Requests, r)
				h.Runs = append(h.Runs, Run{Request: r.ID, Upstream: "u0-1", Service: services[1], Began: at, Ended: at + 2*second})
			}
		},
		"requests that crash upstreams are held": func(h *History) {
			for i := range maxLateSends + 1 {
				crashing := atMostOnceRequest(func(r *Request) {
					r.Kind, r.Prefix, r.Content, r.ID = Crashing, prefixes[Crashing], "1", string(rune('p'+i))
				})
				h.Requests = append(h.Requests, crashing)
				h.Runs = append(h.Runs, Run{Request: crashing.ID, Upstream: "u9-1", Service: services[0], Began: at + second, Ended: at + second})
				h.Crashes = append(h.Crashes, Crash{URI: crashing.uri(), Upstream: "u9-1", At: 5 * second})
			}
		},
		"parts that crash upstreams are held": func(h *History) {
			for i := range countedPartCrashes {
				h.Crashes = append(h.Crashes, Crash{Part: "bad1", Upstream: fmt.Sprint("u9-", i), At: 5*second + time.Duration(i)})
			}
			for i := range maxLatePartSends + 1 {
				bad := atMostOnceRequest(func(r *Request) {
					r.Kind, r.Prefix, r.Parts, r.ID, r.Status = CrashingPart, prefixes[CrashingPart], "a1,bad1,c", string(rune('p'+i)), http.StatusBadGateway
				})
				h.Requests = append(h.Requests, bad)
				h.Runs = append(h.Runs, Run{Request: bad.ID, Upstream: "u9-1", Service: services[1], Began: 9 * second, Ended: 9 * second})
			}
		},
		"only parts that crash upstreams are held": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) {
				r.Kind, r.Status, r.Quarantined, r.QuarantinedPart, r.Parts = ResumableStream, http.StatusBadGateway, true, "a1", "a1,c"
			}))
		},
		"sound requests start beside crashing parts": func(h *History) {
			sound := func(id string, sent time.Duration, events int) {
				h.Requests = append(h.Requests, Request{ID: id, Kind: ResumableStream, Prefix: prefixes[ResumableStream], Key: fixedKey, Sent: sent, Ended: sent + second/2, Events: events, Status: http.StatusBadGateway, Complete: true})
			}
			for i := range minSoundRequests {
				sound(fmt.Sprint("calm", i), second, streamEvents)
				sound(fmt.Sprint("beside", i), 17*second, streamEvents*(i%3/2))
			}
			h.Crashes = append(h.Crashes, Crash{Part: "bad1", Upstream: "u9-1", At: 10 * second})
			h.FaultIntervals = []FaultInterval{{Kind: PartRequests, From: 9 * second, To: 19 * second}}
		},
		"only what crashes upstreams is held": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Status, r.Quarantined = http.StatusBadGateway, true }))
		},
		"leaving notices are heeded": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.ID, r.Sent, r.Ended, r.LeavingNotice = "a", 7*second, 7*second, true }),
				atMostOnceRequest(func(*Request) {}))
			h.Runs = append(h.Runs, run("u0-1", services[0], at), Run{Request: "a", Upstream: "u0-1", Service: services[0], Began: 7 * second, Ended: 7 * second})
			// An unavailable platform is no excuse.
			h.FaultIntervals = []FaultInterval{{Kind: StoreDown, From: 5 * second, To: 11 * second}}
		},
		"rest is kept": func(h *History) {
			for i := range maxSendsDuringDelay + 2 {
				rejected := atMostOnceRequest(func(r *Request) {
					r.ID, r.Kind, r.Status = string(rune('p'+i)), Repeatable, http.StatusServiceUnavailable
				})
				h.Requests = append(h.Requests, rejected)
				h.Rejections = append(h.Rejections, Rejection{Request: rejected.ID, Upstream: "u0-1", At: at + time.Duration(i)*600*time.Millisecond, RetryAfter: 3 * second})
			}
		},
		"warming upstreams get little": func(h *History) {
			for range DefaultConfig().Bounds.WarmUp().Bound(warmUpLimit) + 1 {
				h.Runs = append(h.Runs, Run{Request: "ok", Upstream: "u0-1", Service: services[0], Began: at, Ended: at})
			}
			h.WarmUps = []Span{{Name: "u0-1", From: at - second, To: at + second}}
			// No fault is an excuse: the bound is over all routers, whatever happened to them.
			h.FaultIntervals = []FaultInterval{{Kind: RouterKillAll, From: 5 * second, To: 11 * second}}
		},
		"evacuated domains get nothing": func(h *History) {
			h.Requests = append(h.Requests, atMostOnceRequest(func(*Request) {}))
			h.Runs = append(h.Runs, run("u1-1", services[0], at))
			h.Evacuations = []Span{{Name: domainOf(1), From: 5 * second, To: 12 * second}}
		},
		"serves as before": func(h *History) { h.Requests[0].Status = http.StatusServiceUnavailable },
		"processes end when told": func(h *History) {
			h.Exits = []Exit{{Router: 1, At: at, Reason: "ended by itself"}}
		},
	} {
		t.Run(invariant, func(t *testing.T) {
			g := NewWithT(t)
			h := healthyHistory()
			g.Expect(violated(h)).To(BeEmpty())
			violate(h)
			g.Expect(violated(h)).To(HaveEach(invariant))
			g.Expect(violated(h)).NotTo(BeEmpty())
		})
	}
}

// Guards against a violation that doesn't tell which requests were not served.
func TestUnservedRequestsAreListed(t *testing.T) {
	g := NewWithT(t)
	h := healthyHistory()
	h.Requests[0].Status = http.StatusServiceUnavailable
	c := newChecker(h, DefaultConfig().Bounds)
	c.recovered(0, time.Hour)
	g.Expect(c.violations).To(HaveLen(1))
	g.Expect(c.violations[0].Detail).To(And(ContainSubstring(h.Requests[0].ID+" ("), ContainSubstring("status 503")))
}

// A router that was paused is excused from time bounds, but not from invariants that hold
// under all faults. Faults of other routers and graceful stops excuse nothing.
func TestFaultsExcuseOnlyTheirEffects(t *testing.T) {
	g := NewWithT(t)
	h := healthyHistory()
	h.Requests = append(h.Requests, atMostOnceRequest(func(r *Request) { r.Complete, r.Status, r.Ended = false, 0, r.Sent+3*second }))
	g.Expect(violated(h)).To(ContainElements("answered in time", "nothing is cut"))
	h.FaultIntervals = []FaultInterval{{Kind: RouterPause, Target: 0, From: 9 * second, To: 11 * second}}
	g.Expect(violated(h)).To(BeEmpty())
	h.FaultIntervals[0].Target = 1
	g.Expect(violated(h)).NotTo(BeEmpty(), "another router's pause excuses nothing")
	h.FaultIntervals[0] = FaultInterval{Kind: RouterStop, Target: 0, From: 9 * second, To: 11 * second}
	g.Expect(violated(h)).NotTo(BeEmpty(), "a planned stop excuses nothing")
}

// Guards against a check that misses a stream which continues at another version, or isn't continued.
func TestCheckFindsStreamsOfTwoVersions(t *testing.T) {
	g := NewWithT(t)
	stream := func(id, continues, version string, after, events int) Request {
		return Request{ID: id, Kind: ResumableStream, Continues: continues, Version: version, After: after, Events: events, Key: fixedKey, Sent: time.Minute, Ended: time.Minute}
	}
	h := &History{Requests: []Request{stream("a", "", "v1", 0, 3), stream("b", "a", "v1", 3, 5), stream("c", "a", "v2", 5, 9)}}
	c := newChecker(h, DefaultConfig().Bounds)
	c.streamVersions()
	g.Expect(c.violations).To(HaveLen(1))
	g.Expect(c.violations[0].Detail).To(ContainSubstring("c at router 0 continues a of version v1 at v2"))

	h = &History{Serving: []ServingSpan{{Upstream: "u1", Service: services[1], Version: "v1"}, {Upstream: "u2", Service: services[1], Version: "v1"}}}
	for i := range 2 * minContinuations {
		id := fmt.Sprint("n", i)
		h.Requests = append(h.Requests, stream(id, "", "v1", 0, 3), stream(id+"+", id, "", 3, 3))
	}
	c = newChecker(h, DefaultConfig().Bounds)
	c.continuations()
	g.Expect(c.violations).To(HaveLen(1))
	h.Serving = h.Serving[:1]
	c = newChecker(h, DefaultConfig().Bounds)
	c.continuations()
	g.Expect(c.violations).To(BeEmpty(), "only one upstream of the version serves")
}

// Guards against a check of a stream's events that accepts joined pieces of two versions.
func TestCheckOfEventsFindsJoinedPieces(t *testing.T) {
	g := NewWithT(t)
	body := func(from, to int, version string) (all string) {
		for n := from; n <= to; n++ {
			all += standin.StreamEvent("a", n, versionSuffix(version))
		}
		return all
	}
	req := Request{ID: "a", After: 4, Complete: true}
	g.Expect(checkStream(&req, body(5, streamEvents, "v1"))).To(BeEmpty())
	g.Expect(req.Version).To(Equal("v1"))
	req = Request{ID: "a"}
	g.Expect(checkStream(&req, body(1, 6, "v1")+body(7, 7, "v1")[:9])).To(BeEmpty(), "a broken stream")
	g.Expect(req.Events).To(Equal(6))
	for name, wrong := range map[string]string{
		"two versions": body(1, 6, "v1") + body(7, streamEvents, "v2"), "missing": body(1, 6, "v1") + body(8, streamEvents, "v1"),
		"twice": body(1, 6, "v1") + body(6, streamEvents, "v1"), "short": body(1, 6, "v1"), "more": body(1, streamEvents, "v1") + "x",
	} {
		req = Request{ID: "a", Complete: true}
		g.Expect(checkStream(&req, wrong)).NotTo(BeEmpty(), name)
	}
}

// Guards against blaming the upstream that continued a stream for the notice of the one that began it.
func TestCheckOfNoticesKnowsResumedStreams(t *testing.T) {
	g := NewWithT(t)
	notice := Request{ID: "a", Kind: ResumableStream, LeavingNotice: true, Ended: second}
	later := Request{ID: "b", Kind: ResumableStream, Sent: 9 * second}
	h := &History{Requests: []Request{notice, later}, Runs: []Run{{Request: "a", Upstream: "u1"}, {Request: "a", Upstream: "u2"}, {Request: "b", Upstream: "u2", Began: 9 * second}}}
	c := newChecker(h, DefaultConfig().Bounds)
	c.leavingNotices()
	g.Expect(c.violations).To(BeEmpty())
	h.Runs = h.Runs[1:]
	c = newChecker(h, DefaultConfig().Bounds)
	c.leavingNotices()
	g.Expect(c.violations).To(HaveLen(1), "a stream with one run")
}
