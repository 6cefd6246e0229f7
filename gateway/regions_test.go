package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/gateway"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// newRegionHarness returns a harness with u1 in the region east and u2 in west. All routes are
// restricted to the regions in route, and the team to those in team.
func newRegionHarness(t *testing.T, route, team []string) *harness {
	r := newHarnessWith(t, map[string]script{"u1": ok("east"), "u2": ok("west")}, func(c *gateway.Config) {
		c.Regions = map[string]string{"d1": "east", "d2": "west"}
	})
	reg := registry.New()
	for _, u := range r.state.Snapshot().View.All() {
		u.FailureDomain = "d" + strings.TrimPrefix(u.ID, "u")
		reg.Put(0, u)
	}
	table := r.state.Snapshot().Table.Config
	restricted := *table
	restricted.Routes = append([]routing.Route(nil), table.Routes...)
	for i := range restricted.Routes {
		restricted.Routes[i].Regions = route
	}
	restricted.Teams = append([]routing.Team(nil), table.Teams...)
	restricted.Teams[0].Regions = team
	r.state.set(&feed.Snapshot{View: reg.View(), Table: routing.NewTable(&restricted)})
	return r
}

// Guards against requests that are served outside the regions of their route or team.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, team []string
		want        string
	}{
		"route":         {[]string{"west"}, nil, "west"},
		"team":          {nil, []string{"west"}, "west"},
		"route or team": {[]string{"east", "west"}, []string{"north", "west"}, "west"},
		"neither":       {nil, nil, "east"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRegionHarness(t, c.route, c.team)
			resp, body, err := r.call("/unsafe/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(c.want))
			domain := map[string]string{"east": "d1", "west": "d2"}[c.want]
			g.Eventually(func() []map[string]any { return r.eventLines("served") }).Should(ConsistOf(HaveKeyWithValue("upstream_domain", domain)))
		})
	}
}

// Guards against making callers wait although no upstream may serve their request.
func TestRequestWithoutAnAllowedRegionIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct{ route, team []string }{
		"no upstream there": {[]string{"north"}, nil},
		"nothing in common": {[]string{"east"}, []string{"west"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRegionHarness(t, c.route, c.team)
			resp, body, err := r.call("/unsafe/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			g.Expect(body).To(ContainSubstring("no_region"))
			g.Expect(r.requests()).To(BeEmpty())
		})
	}
}

// Guards against sending a request to a failure domain that was evacuated after the placement.
func TestEvacuationAfterTheDecisionIsHeeded(t *testing.T) {
	g := NewWithT(t)
	r := newRegionHarness(t, nil, nil)
	r.placer.beforePlace = func() {
		reg := registry.New()
		for _, u := range r.state.Snapshot().View.All() {
			reg.Put(0, u)
		}
		reg.RecordEvacuation(0, "d1", false, 9)
		r.state.set(&feed.Snapshot{View: reg.View(), Table: r.state.Snapshot().Table})
	}
	_, body, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("west"))
	g.Expect(r.requests()).To(HaveLen(1))
}

// Guards against sending a request to a cold upstream long after its home granted it.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	r := newHarness(t, map[string]script{"u1": ok("one")})
	r.placer.warming = true
	r.placer.beforePlace = func() { time.Sleep(300 * time.Millisecond) }
	resp, _, err := r.call("/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.requests()).To(BeEmpty())
	g.Expect(r.placer.reportedOutcomes()).To(ContainElement(dispatch.NotSent))
}
