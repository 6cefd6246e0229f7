package fleet

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/entry"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// Guards against messages that grow: the control traffic in docs/CAPACITY.md is calculated from
// these sizes. An added field shows here.
func TestMessagesKeepTheirSizes(t *testing.T) {
	id := "9c41d07be2a35f68"
	cases := map[string]struct {
		p    packet
		most int
	}{
		"heartbeat": {packet{From: 1 << 63, Heartbeat: &heartbeat{heartbeatFields: heartbeatFields{
			Sent: 1 << 50, Echo: 1 << 50, IP: "10.1.0.33", Domain: "derby-hall", Weight: 0.4, Revision: 100000, AgeNanos: 1 << 30,
			Peers: []string{"10.1.0.33", "10.2.0.33", "10.3.0.33", "10.4.0.33"},
		}}}, 125},
		"question": {packet{From: 1 << 63, Ask: &placeRequest{placeRequestFields: placeRequestFields{
			Seq: 1 << 20, ID: id, Service: "huvo11a", Team: "hule930", Priority: 1, Prompt: 9190, Output: 52,
			Parts:    []part{{ID: 1 << 47, Tokens: 2520}, {ID: 1 << 47, Tokens: 3780}, {ID: 1 << 47, Tokens: 2890}},
			TargetMs: 800, TimeoutMs: 6000, CacheHint: "i-7f3a91c2d0",
		}}}, 130},
		"decision": {packet{From: 1 << 63, Reply: &placeReply{Seq: 1 << 20, Service: "huvo11a", Verdict: dispatch.Send, Upstream: "i-7f3a91c2d0", PredictedFirstByteMs: 120}}, 55},
		"tally": {packet{From: 1 << 63, Infrequent: &infrequent{Usage: &usageReport{Teams: slices.Repeat([]teamUsage{{Team: "hule930", Window: 2.5e6, Recent: 1e6}}, maxTeamsPerReport)}}},
			20 + 20*maxTeamsPerReport},
		"crash": {packet{From: 1 << 63, Infrequent: &infrequent{Quarantine: &quarantineUpdate{Crashes: []crashReport{{
			Team: "hule930", Hash: 1 << 63, Upstream: 1 << 31, RanMs: 2000,
		}}}}}, 60},
		"notices": {packet{From: 1 << 63, Infrequent: &infrequent{Quarantine: &quarantineUpdate{Notices: slices.Repeat([]statusNotice{{
			Team: "hule930", Hash: 1 << 63, Status: quarantine.Quarantined, Version: 3, LeftS: 7200,
		}}, maxNoticesPerDatagram)}}}, 20 + 30*maxNoticesPerDatagram},
		"stream":       {packet{From: 1 << 63, Stream: &streamMessage{Kind: streamKnown, Stream: 1 << 63, Service: "huvo11a", SoftwareVersion: "v1.12"}}, 45},
		"ask to leave": {packet{From: 1 << 63, Extension: &extension{Entry: &entryMessage{Kind: entryAsk, AskedAt: 1 << 50, SpanMs: 28000, DemandPercent: percent * entry.MaxDemand}}}, 35},
		"leave refused": {packet{From: 1 << 63, Extension: &extension{Entry: &entryMessage{
			Kind: entryRefused, AskedAt: 1 << 50, SpanMs: 28000, Reason: entry.TooManyUnavailable,
		}}}, 35},
		"first byte": {packet{From: 1 << 63, Report: &report{Kind: reportStarted, Seq: 1 << 20, Service: "huvo11a", Started: int64(packLoad(
			dispatch.LoadReport{Running: 40, Waiting: 3, Slots: 48, Slowdown: 2.5, Age: time.Millisecond}))}}, 45},
		"report": {packet{From: 1 << 63, Report: &report{Kind: reportEnded, Seq: 1 << 20, Service: "huvo11a", DurationMs: 2000}}, 45},
	}
	for name, c := range cases {
		raw, err := encodePacket(&c.p)
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(raw)).To(BeNumerically("<=", c.most), name)
		t.Logf("%s: %d bytes", name, len(raw))
	}
}
