package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

const (
	second = time.Second
	start  = time.Hour
)

func newContentKey(n int) quarantine.Key {
	return quarantine.NewContentKey("schools", "POST", "h", fmt.Sprint("/", n), nil)
}

// newCrash returns a crash at now, of a request that was sent 100 ms earlier.
func newCrash(id quarantine.Key, upstream uint32, now time.Duration) quarantine.Crash {
	return quarantine.Crash{ID: id, Upstream: upstream, Sent: now - 100*time.Millisecond}
}

// recordCrashes records crashes of n upstreams one second apart, and returns the time one
// second after the last.
func recordCrashes(t *quarantine.Table, id quarantine.Key, from time.Duration, first uint32, n int) time.Duration {
	for i := range n {
		t.RecordCrash(from, newCrash(id, first+uint32(i), from))
		from += second
	}
	return from
}

// Guards against sending a content that has crashed three upstreams in a row.
func TestThirdConsecutiveCrashQuarantines(t *testing.T) {
	g := NewWithT(t)
	table, id := quarantine.NewTable(quarantine.DefaultConfig()), newContentKey(1)
	var got []quarantine.Status
	for i := range 4 {
		now := start + time.Duration(i)*second
		table.RecordCrash(now, newCrash(id, uint32(i), now))
		got = append(got, table.View().Status(id))
	}
	g.Expect(got).To(Equal([]quarantine.Status{quarantine.Normal, quarantine.Suspect, quarantine.Quarantined, quarantine.Quarantined}))
	g.Expect(table.View().Status(newContentKey(2))).To(Equal(quarantine.Normal))
}

// Guards against quarantining a content for crashes that it didn't cause.
func TestCrashesThatDoNotCount(t *testing.T) {
	for name, record := range map[string]func(*quarantine.Table, quarantine.Key){
		"repeated crashes of one incarnation": func(table *quarantine.Table, id quarantine.Key) {
			for i := range 5 {
				now := start + time.Duration(i)*second
				table.RecordCrash(now, newCrash(id, 1, now))
			}
		},
		"simultaneous crashes in a failure domain": func(table *quarantine.Table, id quarantine.Key) {
			for i := range 5 {
				now := start + time.Duration(i)*time.Millisecond
				table.RecordCrash(now, newCrash(id, uint32(i), now))
			}
		},
		"requests sent together to upstreams that end one after the other": func(table *quarantine.Table, id quarantine.Key) {
			for i := range 5 {
				now := start + time.Duration(i)*60*time.Millisecond
				table.RecordCrash(now, quarantine.Crash{ID: id, Upstream: uint32(i), Sent: start - second})
			}
		},
		"requests to upstreams that close connections at once": func(table *quarantine.Table, id quarantine.Key) {
			for i := range 20 {
				now := start + time.Duration(i)*time.Millisecond
				table.RecordCrash(now, quarantine.Crash{ID: id, Upstream: uint32(i), Sent: now})
			}
		},
		"crashes with successes in between": func(table *quarantine.Table, id quarantine.Key) {
			for i := range 5 {
				now := start + time.Duration(i)*second
				table.RecordCrash(now, newCrash(id, uint32(i), now))
				table.Clear(now+second/2, id)
			}
		},
		"crashes of requests sent before the last success": func(table *quarantine.Table, id quarantine.Key) {
			table.RecordCrash(start, newCrash(id, 1, start))
			table.Clear(start, id)
			for i := range 5 {
				table.RecordCrash(start+time.Duration(i)*second, quarantine.Crash{ID: id, Upstream: uint32(2 + i), Sent: start - second})
			}
		},
		"crashes that have expired": func(table *quarantine.Table, id quarantine.Key) {
			for i := range 5 {
				now := start + time.Duration(i)*time.Hour
				table.Expire(now)
				table.RecordCrash(now, newCrash(id, uint32(i), now))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.NewTable(quarantine.DefaultConfig())
			record(table, newContentKey(1))
			NewWithT(t).Expect(table.View().Status(newContentKey(1))).To(Equal(quarantine.Normal))
		})
	}
}

// Guards against trials that keep crashing upstreams at a constant rate.
func TestTrialDelayGrowsWithEachFailedTrial(t *testing.T) {
	g := NewWithT(t)
	cfg := quarantine.DefaultConfig()
	table, id := quarantine.NewTable(cfg), newContentKey(1)
	now := recordCrashes(table, id, start, 1, 3) - second
	g.Expect(table.GrantTrial(now, id)).To(BeFalse())
	for i, delay := range append(cfg.Content.TrialDelays, cfg.Content.TrialDelays[len(cfg.Content.TrialDelays)-1]) {
		g.Expect(table.GrantTrial(now+delay-1, id)).To(BeFalse())
		now += delay
		g.Expect(table.GrantTrial(now, id)).To(BeTrue())
		g.Expect(table.GrantTrial(now, id)).To(BeFalse(), "another trial is pending")
		_, changed := table.RecordCrash(now, quarantine.Crash{ID: id, Upstream: uint32(100 + i), Sent: now - 1})
		g.Expect(changed).To(BeFalse(), "the request was sent before the trial was granted")
		notice, changed := table.RecordCrash(now, quarantine.Crash{ID: id, Upstream: uint32(200 + i), Sent: now})
		g.Expect(changed).To(BeTrue())
		g.Expect(notice.Status).To(Equal(quarantine.Quarantined))
		g.Expect(notice.FailedTrials).To(Equal(i + 1))
	}
}

// Guards against a content that stays in quarantine although a trial has succeeded.
func TestSuccessfulTrialEndsQuarantine(t *testing.T) {
	g := NewWithT(t)
	cfg := quarantine.DefaultConfig()
	table, id := quarantine.NewTable(cfg), newContentKey(1)
	now := recordCrashes(table, id, start, 1, 3) + cfg.Content.TrialDelays[0]
	g.Expect(table.GrantTrial(now, id)).To(BeTrue())
	g.Expect(table.GrantTrial(now+cfg.Content.TrialTimeout, id)).To(BeTrue(), "the first trial has timed out")
	notice, changed := table.Clear(now+cfg.Content.TrialTimeout, id)
	g.Expect(changed).To(BeTrue())
	g.Expect(notice.Status).To(Equal(quarantine.Normal))
	g.Expect(table.View().Status(id)).To(Equal(quarantine.Normal))
	g.Expect(table.GrantTrial(now+time.Hour, id)).To(BeFalse())
}

// Guards against a team that evicts the contents of others, and against evicting quarantined contents.
func TestOneTeamCannotEvictOthers(t *testing.T) {
	g := NewWithT(t)
	cfg := quarantine.DefaultConfig()
	table, id := quarantine.NewTable(cfg), newContentKey(1)
	now := recordCrashes(table, id, start, 1, 3)
	other := quarantine.NewContentKey("homes", "POST", "h", "/", nil)
	now = recordCrashes(table, other, now, 1, 2)
	for i := range 10 * cfg.MaxEntries {
		now += time.Millisecond
		table.RecordCrash(now, newCrash(newContentKey(100+i), uint32(i), now))
	}
	g.Expect(table.View().Status(id)).To(Equal(quarantine.Quarantined))
	g.Expect(table.View().Status(other)).To(Equal(quarantine.Suspect))
	for team := range 100 {
		for i := range 100 {
			now += time.Millisecond
			flood := quarantine.NewContentKey(fmt.Sprint("team", team), "POST", "h", fmt.Sprint("/", i), nil)
			table.RecordCrash(now, newCrash(flood, uint32(i), now))
		}
	}
	g.Expect(table.View().Status(id)).To(Equal(quarantine.Quarantined))
	g.Expect(table.Len()).To(BeNumerically("<=", cfg.MaxEntries))
}

// Guards against routers that diverge when notices are delayed, duplicated or reordered.
func TestTablesConvergeOnceAllNoticesAreApplied(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(2, 5).Draw(rt, "routers")
		tables := make([]*quarantine.Table, routers)
		for i := range tables {
			tables[i] = quarantine.NewTable(quarantine.DefaultConfig())
		}
		now := start
		var notices []quarantine.Notice
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "gap")) * time.Millisecond
			table := tables[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			id := newContentKey(rapid.IntRange(0, 2).Draw(rt, "content"))
			var notice quarantine.Notice
			changed := false
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				notice, changed = table.Clear(now, id)
			case 1:
				if len(notices) > 0 {
					table.Apply(now, notices[rapid.IntRange(0, len(notices)-1).Draw(rt, "notice")])
				}
			default:
				notice, changed = table.RecordCrash(now, newCrash(id, uint32(i), now))
			}
			if changed {
				notices = append(notices, notice)
			}
		}
		for _, table := range tables {
			for _, i := range rapid.Permutation(indices(len(notices))).Draw(rt, "order") {
				table.Apply(now, notices[i])
			}
		}
		for _, table := range tables {
			for i := range 3 {
				if got, want := table.View().Status(newContentKey(i)), tables[0].View().Status(newContentKey(i)); got != want {
					rt.Fatalf("content %d has status %v at one router and %v at another", i, got, want)
				}
			}
			if table.Digest() != tables[0].Digest() {
				rt.Fatal("digests differ")
			}
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
