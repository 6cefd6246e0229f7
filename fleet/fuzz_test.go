package fleet

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/feed"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/routing"
)

// blockedSource is a platform that never answers.
type blockedSource struct{}

func (blockedSource) List(ctx context.Context, _ string) (feed.Page, error) {
	<-ctx.Done()
	return feed.Page{}, ctx.Err()
}

func (s blockedSource) Watch(ctx context.Context, _ int64, _ time.Duration) (feed.Batch, error) {
	page, err := s.List(ctx, "")
	return page.Batch, err
}

// Guards against malformed datagrams that make the control goroutine panic, which would end the
// process and all of its requests.
func FuzzDatagrams(f *testing.F) {
	for _, p := range []packet{
		{From: 2, Heartbeat: &heartbeat{heartbeatFields: heartbeatFields{IP: "127.0.0.1", Domain: "d", Weight: 1, Peers: []string{"x"}}}},
		{From: 2, Ask: &placeRequest{Version: "v2", placeRequestFields: placeRequestFields{Seq: 1, Service: "llm", Group: -1, Prompt: -5, Parts: []part{{ID: 1, Tokens: -1}}, TargetMs: -1}}},
		{From: 2, Reply: &placeReply{Seq: 1, Verdict: 9}},
		{From: 2, Infrequent: &infrequent{Quarantine: &quarantineUpdate{
			Crashes: []crashReport{{Team: "t", Hash: 1, RanMs: -1}},
			Notices: []statusNotice{{Team: "t", Hash: 1, Status: 200, Version: 1 << 31, LeftS: -1}},
		}}},
		{From: 2, Infrequent: &infrequent{Shed: &shedReport{Service: "llm", Group: 1 << 40, Requests: []shedRequest{{Fingerprint: 1, AgeMs: -1, TimeoutMs: -1}}}}},
		{From: 2, Infrequent: &infrequent{Usage: &usageReport{Teams: []teamUsage{{Team: "t", Window: -1, Recent: float32(math.NaN())}}}}},
		{From: 2, Infrequent: &infrequent{Usage: &usageReport{IsReply: true, Teams: []teamUsage{{Team: "t", Window: float32(math.Inf(1))}}}}},
		{From: 2, Stream: &streamMessage{Kind: 200, Stream: 1}},
		{From: 2, Stream: &streamMessage{Kind: streamQuery}},
		{From: 2, Report: &report{Kind: reportInFlight, Seq: 1, Service: "llm", Request: &placeRequest{}, Upstream: "u"}},
	} {
		raw, err := encodePacket(&p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	cfg := DefaultConfig()
	cfg.IP = "127.0.0.1"
	t, err := Listen(cfg.IP, 0)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = t.Close() })
	n := New(cfg, t, boottime.Now, zerolog.Nop())
	published := feed.New(feed.DefaultConfig(0, 0), blockedSource{}, boottime.Now, zerolog.Nop(), func() bool { return false }, func() {})
	n.Attach(published)
	published.Import(&feed.PeerState{Revision: 1, Config: &routing.Config{Version: 1, Services: []routing.Service{{Name: "llm"}}},
		Upstreams: []registry.Upstream{{ID: "u", Service: "llm", Slots: 2, Revision: 1}}}, boottime.Now())
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := decodePacket(raw)
		if err != nil {
			return
		}
		n.handlePacket(boottime.Now(), packetEvent{packet: p, from: netip.MustParseAddrPort("127.0.0.1:9")})
		n.tick()
		if len(n.groups) > maxGroups {
			t.Fatalf("%d groups of one service", len(n.groups))
		}
	})
}
