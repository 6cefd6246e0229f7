package router_test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/bundlefeed"
	"github.com/aspenswitch/aspenswitch/idempotency"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/router"
	"github.com/aspenswitch/aspenswitch/settings"
	"github.com/aspenswitch/aspenswitch/standin"
)

// waitTimeout limits the wait for a condition that must become true.
const waitTimeout = 10 * time.Second

// fixture is a router that is not started yet and a stand-in platform that has
// published a bundle.
type fixture struct {
	platform *standin.Platform
	router   *router.Router
	address  string
}

func newFixture(t *testing.T) *fixture {
	g := NewWithT(t)
	f := &fixture{platform: standin.NewPlatform()}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	signed, operators := signedBundle(g)
	f.platform.Publish(signed)

	peers, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	f.address = peers.Addr().String()
	s := settings.Default()
	s.Name, s.FailureDomain, s.Operators = "vm1", "a", operators
	cfg := router.NewConfig(s, 1)
	cfg.Idempotency.MaxClockSkew = 50 * time.Millisecond
	cfg.VMPollInterval = 20 * time.Millisecond
	cfg.WatchTimeout = time.Second
	f.router = router.New(cfg, router.Deps{
		Log: zerolog.Nop(), Metrics: obs.NewMetrics("test"), PeerListener: peers,
		Platform: bundlefeed.NewClient(server.URL, cfg.WatchTimeout),
	})
	t.Cleanup(f.router.Stop)
	return f
}

// publishVMList publishes a list of VMs that includes the router.
func (f *fixture) publishVMList(g *WithT) {
	raw, err := json.Marshal([]membership.ListedVM{{Name: "vm1", FailureDomain: "a", Address: f.address}})
	g.Expect(err).NotTo(HaveOccurred())
	f.platform.SetVMs(raw)
}

func signedBundle(g *WithT) ([]byte, []bundle.Operator) {
	text, err := json.Marshal(bundle.Bundle{
		Version: 1,
		Teams:   []bundle.Team{{ID: 1, Name: "vans", Share: 1, Keys: []string{bundle.HashKey("vans-key")}}},
		Pools:   []bundle.Pool{{ID: 1, Name: "planning", Models: []string{"planner"}}},
		Limits:  bundle.Limits{BodyBytes: 4096},
	})
	g.Expect(err).NotTo(HaveOccurred())
	signed := &bundle.Signed{Bundle: string(text)}
	var operators []bundle.Operator
	for _, name := range []string{"anna", "bert"} {
		public, private, err := ed25519.GenerateKey(nil)
		g.Expect(err).NotTo(HaveOccurred())
		operators = append(operators, bundle.Operator{Name: name, PublicKey: public})
		signed.Sign(name, private)
	}
	raw, err := json.Marshal(signed)
	g.Expect(err).NotTo(HaveOccurred())
	return raw, operators
}

// awaitReady polls at a very short interval, so that the caller continues as soon
// as the router is ready.
func (f *fixture) awaitReady(g *WithT) {
	deadline := time.Now().Add(waitTimeout)
	for !f.router.Ready() {
		g.Expect(time.Now().Before(deadline)).To(BeTrue(), "never ready")
		time.Sleep(50 * time.Microsecond)
	}
}

func freshKey() string { return "1/" + uuid.Must(uuid.NewV7()).String() }

// Guards against a needless "unknown" for a non-repeatable request (a booking) right
// after readiness. On a busy VM the control goroutine starts some time after New. If the
// voter's start were taken there, but readiness computed from the time of New, a key
// created then could be older than the voter, which would abstain.
func TestFirstBookingAfterReadinessGetsAVote(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	f.publishVMList(g)
	time.Sleep(150 * time.Millisecond)
	f.router.Start()
	f.awaitReady(g)
	claimed := f.router.Claim(context.Background(), freshKey())
	g.Expect(claimed.Result).To(Equal(idempotency.Won))
	claimed.KeyClaim.Abandon()
}

// Guards against readiness of a router that the platform doesn't list yet, although
// the bundle is in force. It can't determine the voters of a key, so every
// non-repeatable request would get the outcome "unknown". The load balancer must
// not use it.
func TestUnlistedRouterIsNotReady(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	f.router.Start()
	g.Eventually(f.router.Bundle, waitTimeout, "5ms").ShouldNot(BeNil())
	g.Consistently(f.router.Ready, "300ms", "5ms").Should(BeFalse())
	f.publishVMList(g)
	f.awaitReady(g)
	claimed := f.router.Claim(context.Background(), freshKey())
	g.Expect(claimed.Result).To(Equal(idempotency.Won))
	claimed.KeyClaim.Abandon()
}
