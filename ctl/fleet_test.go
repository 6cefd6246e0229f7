package ctl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// fakeRouter is a control listener that tells a state.
type fakeRouter struct {
	ready   bool
	version int64
	members []string
	ageMs   int64
	pending int
	// evacuated are failure domains, warming the upstreams of a group whose home it is.
	evacuated []string
	warming   int
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var members []map[string]any
	for _, m := range f.members {
		members = append(members, map[string]any{"address": m})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"ready": f.ready, "configVersion": f.version,
		"node": map[string]any{"failureDomain": "east", "hub": f.pending > 0, "ageMs": f.ageMs, "pending": f.pending, "members": members,
			"router": 1, "evacuated": f.evacuated, "groups": []any{
				map[string]any{"home": 1, "state": map[string]any{"warming": f.warming}},
				map[string]any{"home": 2, "state": map[string]any{"warming": 9}},
			}},
	})
}

// fleetOf starts routers that hear as many peers each, and returns their URLs.
func fleetOf(t *testing.T, routers ...*fakeRouter) []string {
	var bases []string
	for _, r := range routers {
		s := httptest.NewServer(r)
		t.Cleanup(s.Close)
		bases = append(bases, s.URL)
	}
	return bases
}

func sound() *fakeRouter {
	return &fakeRouter{ready: true, version: 7, members: []string{"127.0.0.1:1", "127.0.0.1:2"}}
}

// Guards against an evacuation that operators can't see, and a router that missed it.
func TestStatusTellsEvacuationsAndWarmUps(t *testing.T) {
	g := NewWithT(t)
	knows := func(warming int) *fakeRouter {
		r := sound()
		r.evacuated, r.warming = []string{"east", "west"}, warming
		return r
	}
	bases := fleetOf(t, knows(3), knows(2), knows(0), sound())
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Status(&out, true, ctl.JSON)).To(Succeed())
	var o ctl.Overview
	g.Expect(json.Unmarshal(out.Bytes(), &o)).To(Succeed())
	g.Expect(o.Evacuated).To(Equal([]string{"east", "west"}))
	g.Expect(o.Warming).To(Equal(5))
	g.Expect(o.Outliers).To(HaveLen(1))
	g.Expect(o.Outliers[0].Reasons).To(ConsistOf("takes [] for evacuated where most take [east west]"))
	out.Reset()
	g.Expect(ctl.NewClient(bases, "").Status(&out, true, ctl.Table)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("evacuated failure domains: east, west"))
	g.Expect(out.String()).To(ContainSubstring("5 upstreams are warming up"))
}

func TestStatusTellsRoutersThatDiffer(t *testing.T) {
	g := NewWithT(t)
	late := sound()
	late.ageMs = 2500
	behind := sound()
	behind.version, behind.ready = 6, false
	alone := sound()
	alone.members = nil
	crowded := sound()
	crowded.pending = 400
	bases := append(fleetOf(t, sound(), sound(), sound(), sound(), sound(), sound(), late, behind, alone, crowded), "http://127.0.0.1:1")

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
	g.Expect(reasons[bases[7]]).To(And(ContainSubstring("not ready"), ContainSubstring("version 6 where most have 7")))
	g.Expect(reasons[bases[8]]).To(ContainSubstring("hears 0 peers where others hear 2"))
	g.Expect(reasons[bases[9]]).To(ContainSubstring("400 requests wait"))
	g.Expect(reasons[bases[10]]).To(ContainSubstring("no answer"))
	g.Expect(o.Summary).To(HaveLen(2), "one a role")
	g.Expect(o.Summary[0].Routers + o.Summary[1].Routers).To(Equal(10))
}

func TestTableOfHundredsHasRowsForOutliersOnly(t *testing.T) {
	g := NewWithT(t)
	var routers []*fakeRouter
	for range 300 {
		routers = append(routers, sound())
	}
	routers[200].ready = false
	var out bytes.Buffer
	g.Expect(ctl.NewClient(fleetOf(t, routers...), "").Status(&out, true, ctl.Table)).To(Succeed())
	g.Expect(out.String()).To(HavePrefix("300 routers, 0 without an answer, 1 differ"))
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(BeNumerically("<", 10))
}

func TestRoutersAreAskedSomeAtATime(t *testing.T) {
	g := NewWithT(t)
	var now, most atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := now.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		now.Add(-1)
		sound().ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	bases := make([]string, 300)
	for i := range bases {
		bases[i] = s.URL
	}
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Dump(&out)).To(Succeed())
	g.Expect(most.Load()).To(And(BeNumerically(">", 1), BeNumerically("<=", 32)))
	var results []map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &results)).To(Succeed())
	g.Expect(results).To(HaveLen(300))
}

func TestDumpTellsWhoDidNotAnswer(t *testing.T) {
	g := NewWithT(t)
	bases := append(fleetOf(t, sound()), "http://127.0.0.1:1")
	var out bytes.Buffer
	g.Expect(ctl.NewClient(bases, "").Dump(&out)).To(MatchError(ContainSubstring("1 of 2 routers did not answer")))
	g.Expect(out.String()).To(And(ContainSubstring(`"configVersion": 7`), ContainSubstring("connection refused")))
}

func TestDiscoverFindsThePeersOfARouter(t *testing.T) {
	g := NewWithT(t)
	r := sound()
	base := fleetOf(t, r)[0]
	at, err := url.Parse(base)
	g.Expect(err).NotTo(HaveOccurred())
	// Peers have other addresses and the same control port.
	r.members = []string{net.JoinHostPort("127.0.0.2", "7400"), net.JoinHostPort(at.Hostname(), "7400")}
	c := ctl.NewClient([]string{"http://127.0.0.1:1", base}, "")
	g.Expect(c.Discover()).To(Succeed())
	var out bytes.Buffer
	g.Expect(c.Status(&out, true, ctl.JSON)).NotTo(Succeed())
	g.Expect(out.String()).To(ContainSubstring("http://127.0.0.2:" + at.Port()))
	g.Expect(ctl.NewClient([]string{"http://127.0.0.1:1"}, "").Discover()).NotTo(Succeed())
}
