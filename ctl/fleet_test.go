package ctl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/ctl"
)

// fakeRouter is a control listener that serves a state dump.
type fakeRouter struct {
	ready   bool
	version int64
	members []string
	ageMs   int64
	pending int
	// evacuated lists the evacuated failure domains. warming is the number of upstreams
	// that are warming up in a group whose home the router is.
	evacuated []string
	warming   int
	epoch     int
	versions  []map[string]any
	// quarantine lists the quarantined and suspect keys.
	quarantine []map[string]any
	// entry is the router's readiness under overload.
	entry map[string]any
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var members []map[string]any
	for _, m := range f.members {
		members = append(members, map[string]any{"address": m})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"ready": f.ready, "configVersion": f.version,
		"node": map[string]any{"failureDomain": "east", "hub": f.pending > 0, "ageMs": f.ageMs, "pending": f.pending, "members": members,
			"router": 1, "evacuated": f.evacuated, "epoch": f.epoch, "versions": f.versions, "quarantine": f.quarantine, "entry": f.entry, "groups": []any{
				map[string]any{"home": 1, "state": map[string]any{"warming": f.warming}},
				map[string]any{"home": 2, "state": map[string]any{"warming": 9}},
			}},
	})
}

// startRouters starts the routers on loopback and returns their base URLs.
func startRouters(t *testing.T, routers ...*fakeRouter) []string {
	var bases []string
	for _, r := range routers {
		s := httptest.NewServer(r)
		t.Cleanup(s.Close)
		bases = append(bases, s.URL)
	}
	return bases
}

func healthyRouter() *fakeRouter {
	return &fakeRouter{ready: true, version: 7, members: []string{"127.0.0.1:1", "127.0.0.1:2"}}
}

// Guards against an overview that omits an evacuation or a router that did not apply it.
func TestStatusReportsEvacuationsAndWarmUps(t *testing.T) {
	g := NewWithT(t)
	evacuatedRouter := func(warming int) *fakeRouter {
		r := healthyRouter()
		r.evacuated, r.warming = []string{"east", "west"}, warming
		return r
	}
	bases := startRouters(t, evacuatedRouter(3), evacuatedRouter(2), evacuatedRouter(0), healthyRouter())
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Status(&out, true, ctl.JSON)).To(Succeed())
	var o ctl.Overview
	g.Expect(json.Unmarshal(out.Bytes(), &o)).To(Succeed())
	g.Expect(o.Evacuated).To(Equal([]string{"east", "west"}))
	g.Expect(o.Warming).To(Equal(5))
	g.Expect(o.Outliers).To(HaveLen(1))
	g.Expect(o.Outliers[0].Reasons).To(ConsistOf("reports [] as evacuated, most routers report [east west]"))
	out.Reset()
	g.Expect(ctl.NewClient(bases, "").Status(&out, true, ctl.Table)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("evacuated failure domains: east, west"))
	g.Expect(out.String()).To(ContainSubstring("5 upstreams are warming up"))
}

// Guards against an overview of a release without its versions, and against one that doesn't name a
// router that still has the state from before a restore of the platform.
func TestStatusReportsSoftwareVersionsAndRestores(t *testing.T) {
	g := NewWithT(t)
	router := func(epoch int) *fakeRouter {
		r := healthyRouter()
		r.epoch = epoch
		r.versions = []map[string]any{{"service": "llm", "version": "v1", "registered": 3, "ready": 1}, {"service": "llm", "version": "", "registered": 1, "ready": 1}}
		return r
	}
	bases := startRouters(t, router(2), router(1), router(2))
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Status(&out, true, ctl.JSON)).To(Succeed())
	var o ctl.Overview
	g.Expect(json.Unmarshal(out.Bytes(), &o)).To(Succeed())
	g.Expect(o.Epoch).To(Equal(int64(2)))
	g.Expect(o.Software).To(HaveLen(2))
	g.Expect(o.Outliers).To(HaveLen(1))
	g.Expect(o.Outliers[0].Router).To(Equal(bases[1]))
	out.Reset()
	g.Expect(ctl.NewClient(bases, "").Status(&out, true, ctl.Table)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`llm +v1 +3 +1\n`))
	g.Expect(out.String()).To(MatchRegexp(`llm +unknown +1 +1\n`))
	g.Expect(out.String()).To(ContainSubstring("epoch of the platform: 2"))
}

// Guards against an overview that doesn't tell a router that is out of the load balancer because it
// was overloaded from one that can't serve.
func TestStatusReportsOverloadedRouters(t *testing.T) {
	g := NewWithT(t)
	load := func(more map[string]any) map[string]any {
		maps.Copy(more, map[string]any{"openedConnections": 60, "turnedAway": 540, "requests": 50, "busy": 5, "withinMs": 302})
		return more
	}
	out, staying, stopped := healthyRouter(), healthyRouter(), healthyRouter()
	out.ready, out.entry = false, load(map[string]any{"out": true, "leftMs": 6200})
	staying.entry = load(map[string]any{"overloaded": true, "refusal": "no_better_router", "refusedMs": 800})
	stopped.ready = false
	bases := startRouters(t, out, staying, stopped, healthyRouter())
	var raw bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Status(&raw, true, ctl.JSON)).To(Succeed())
	var o ctl.Overview
	g.Expect(json.Unmarshal(raw.Bytes(), &o)).To(Succeed())
	reasons := map[string][]string{}
	for _, r := range o.Outliers {
		reasons[r.Router] = r.Reasons
	}
	const figures = "turned away 540 of 600 connections and refused 5 of 50 requests as busy within 302 ms"
	g.Expect(reasons).To(Equal(map[string][]string{
		bases[0]: {"out of the load balancer for up to 6.2 s more: " + figures},
		bases[1]: {"overloaded, may not leave the load balancer (no_better_router): " + figures},
		bases[2]: {"not ready"},
	}))
}

func TestStatusReportsRoutersThatDiffer(t *testing.T) {
	g := NewWithT(t)
	staleView := healthyRouter()
	staleView.ageMs = 2500
	oldVersion := healthyRouter()
	oldVersion.version, oldVersion.ready = 6, false
	isolated := healthyRouter()
	isolated.members = nil
	overloaded := healthyRouter()
	overloaded.pending = 400
	bases := append(startRouters(t, healthyRouter(), healthyRouter(), healthyRouter(), healthyRouter(), healthyRouter(), healthyRouter(), staleView, oldVersion, isolated, overloaded), "http://127.0.0.1:1")

	var out bytes.Buffer
	err := ctl.NewClient(bases, "").Status(&out, true, ctl.JSON)
	g.Expect(err).To(MatchError(ContainSubstring("1 of 11 routers did not answer")))
	var o ctl.Overview
	g.Expect(json.Unmarshal(out.Bytes(), &o)).To(Succeed())
	g.Expect(o.Routers).To(HaveLen(11))
	reasons := map[string]string{}
	for _, r := range o.Outliers {
		reasons[r.Router] = fmt.Sprint(r.Reasons)
	}
	g.Expect(reasons).To(HaveLen(5))
	g.Expect(reasons[bases[6]]).To(ContainSubstring("confirmed 2.5s ago"))
	g.Expect(reasons[bases[7]]).To(And(ContainSubstring("not ready"), ContainSubstring("version 6, most routers have 7")))
	g.Expect(reasons[bases[8]]).To(ContainSubstring("receives messages from 0 peers, the median is 2"))
	g.Expect(reasons[bases[9]]).To(ContainSubstring("400 requests waiting"))
	g.Expect(reasons[bases[10]]).To(ContainSubstring("no answer"))
	g.Expect(o.Summary).To(HaveLen(2), "one per role")
	g.Expect(o.Summary[0].Routers + o.Summary[1].Routers).To(Equal(10))
}

func TestTableOfHundredsHasRowsForOutliersOnly(t *testing.T) {
	g := NewWithT(t)
	var routers []*fakeRouter
	for range 300 {
		routers = append(routers, healthyRouter())
	}
	routers[200].ready = false
	var out bytes.Buffer
	g.Expect(ctl.NewClient(startRouters(t, routers...), "").Status(&out, true, ctl.Table)).To(Succeed())
	g.Expect(out.String()).To(HavePrefix("300 routers, 0 without an answer, 1 differ"))
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(BeNumerically("<", 10))
}

func TestRoutersAreAskedSomeAtATime(t *testing.T) {
	g := NewWithT(t)
	var running, maxRunning atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		healthyRouter().ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	bases := make([]string, 300)
	for i := range bases {
		bases[i] = s.URL
	}
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Dump(&out)).To(Succeed())
	g.Expect(maxRunning.Load()).To(And(BeNumerically(">", 1), BeNumerically("<=", 32)))
	var results []map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &results)).To(Succeed())
	g.Expect(results).To(HaveLen(300))
}

func TestDumpReportsRoutersThatDidNotAnswer(t *testing.T) {
	g := NewWithT(t)
	bases := append(startRouters(t, healthyRouter()), "http://127.0.0.1:1")
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Dump(&out)).To(MatchError(ContainSubstring("1 of 2 routers did not answer")))
	g.Expect(out.String()).To(And(ContainSubstring(`"configVersion": 7`), ContainSubstring("connection refused")))
}

func TestDiscoverFindsThePeersOfARouter(t *testing.T) {
	g := NewWithT(t)
	r := healthyRouter()
	base := startRouters(t, r)[0]
	baseURL, err := url.Parse(base)
	g.Expect(err).NotTo(HaveOccurred())
	// Peers have other addresses and the same control port.
	r.members = []string{net.JoinHostPort("127.0.0.2", "7400"), net.JoinHostPort(baseURL.Hostname(), "7400")}
	c := ctl.NewClient([]string{"http://127.0.0.1:1", base}, "")
	g.Expect(c.Discover()).To(Succeed())
	var out bytes.Buffer
	g.Expect(c.Status(&out, true, ctl.JSON)).NotTo(Succeed())
	g.Expect(out.String()).To(ContainSubstring("http://127.0.0.2:" + baseURL.Port()))
	g.Expect(ctl.NewClient([]string{"http://127.0.0.1:1"}, "").Discover()).NotTo(Succeed())
}

// Guards against an overview that omits what the fleet no longer sends, or lists what it still sends.
func TestStatusListsWhatIsInQuarantine(t *testing.T) {
	g := NewWithT(t)
	part := map[string]any{"part": "bad0", "status": "quarantined", "crashes": 4}
	held := []map[string]any{
		part, {"team": "schools", "content": "ab12", "status": "quarantined", "crashes": 3},
		{"team": "schools", "content": "cd34", "status": "suspect", "crashes": 2},
	}
	bases := startRouters(t, &fakeRouter{ready: true, version: 1, quarantine: held}, &fakeRouter{ready: true, version: 1, quarantine: []map[string]any{part}})
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Status(&out, true, ctl.Table)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`part bad0 +any +4 +2`))
	g.Expect(out.String()).To(MatchRegexp(`content ab12 +schools +3 +1`))
	g.Expect(out.String()).NotTo(ContainSubstring("cd34"))
}
