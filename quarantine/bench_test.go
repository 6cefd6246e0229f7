package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

// BenchmarkNewContentKey measures the time that each successful request spends on its content key.
func BenchmarkNewContentKey(b *testing.B) {
	body := make([]byte, 18000)
	for b.Loop() {
		_ = quarantine.NewContentKey("schools", "POST", "h.example", "/route/1", body)
	}
}

// BenchmarkStartedAnswer measures the time to record the start of an answer to a prompt of 15 parts.
func BenchmarkStartedAnswer(b *testing.B) {
	started := quarantine.NewRecentSuccesses(quarantine.MaxSuccesses)
	now := start
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		for part := range 15 {
			// Two parts are of the session, the others are shared by many prompts.
			id := uint64(part)
			if part >= 13 {
				id = uint64(100 + 2*i + part)
			}
			started.Add(now, quarantine.NewPartKey(id))
		}
	}
}

// BenchmarkFullTable measures the time to publish the statuses of a full table.
func BenchmarkFullTable(b *testing.B) {
	cfg := quarantine.DefaultConfig()
	table := quarantine.NewTable(cfg)
	for i := range cfg.MaxEntries {
		for _, key := range []quarantine.Key{{Team: fmt.Sprint(i % 20), Hash: uint64(i)}, quarantine.NewPartKey(uint64(i))} {
			table.RecordCrash(start, quarantine.Crash{ID: key, Team: fmt.Sprint(i % 20), Upstream: 1, Sent: start})
		}
	}
	b.ReportMetric(float64(table.Len()), "keys")
	now := start
	for i := uint32(2); b.Loop(); i++ {
		now += time.Second
		table.RecordCrash(now, quarantine.Crash{ID: quarantine.NewPartKey(1), Team: "1", Upstream: i, Sent: now})
		table.Clear(now, quarantine.NewPartKey(1))
		_ = table.View()
	}
}
