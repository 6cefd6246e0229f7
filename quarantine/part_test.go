package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/quarantine"
)

var part = quarantine.NewPartKey(7)

// Guards against sending a part that has crashed upstreams in a row, and against counting the loss of
// a failure domain as several crashes.
func TestFourthConsecutiveCrashQuarantinesAPart(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable(quarantine.DefaultConfig())
	var got []quarantine.Status
	for i := range 4 {
		now := start + time.Duration(i)*second
		for upstream := range uint32(5) {
			table.RecordCrash(now, newCrash(part, uint32(10*i)+upstream, now))
		}
		got = append(got, table.View().Status(part))
	}
	g.Expect(got).To(Equal([]quarantine.Status{quarantine.Normal, quarantine.Normal, quarantine.Normal, quarantine.Quarantined}))
	g.Expect(table.View().Status(quarantine.Key{Hash: part.Hash})).To(Equal(quarantine.Normal), "a content with the same hash")
	g.Expect(table.View().HasParts()).To(BeTrue())
	g.Expect(table.View().HasContents()).To(BeFalse())
}

// Guards against quarantining a shared part again and again in an outage.
func TestWrongQuarantineRaisesTheThresholdOfAPart(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable(quarantine.DefaultConfig())
	now := start
	for i, want := range []int{4, 8, 16, 16} {
		crashes := 0
		for table.View().Status(part) != quarantine.Quarantined {
			now += second
			crashes++
			table.RecordCrash(now, newCrash(part, uint32(100*i+crashes), now))
		}
		g.Expect(crashes).To(Equal(want))
		table.Clear(now, part)
		now += second
	}
}

// Guards against trials of a key that crash more upstreams than three later than the first seconds.
func TestTrialsOfAKeyAreFew(t *testing.T) {
	for i := range 4 {
		key, proven := part, i%2 == 0
		if i >= 2 {
			key = newContentKey(1)
		}
		g := NewWithT(t)
		table := quarantine.NewTable(quarantine.DefaultConfig())
		now := recordCrashes(table, key, start, 1, 4) - second
		if proven {
			table.SetProven(now, key)
		}
		const contact, day = 3 * second, 110 * second
		trials, late := 0, 0
		for ; now < start+day; now += second / 10 {
			if table.GrantTrial(now, key) {
				trials++
				if now > start+4*second+contact {
					late++
				}
				table.RecordCrash(now+second/20, quarantine.Crash{ID: key, Upstream: uint32(100 + trials), Sent: now + second/40})
			}
		}
		g.Expect(trials).To(BeNumerically(">=", 2))
		g.Expect(late).To(BeNumerically("<=", 3))
	}
}

// Guards against waiting an hour for the trial of a key that was harmless before an outage.
func TestProvenKeyIsTriedSooner(t *testing.T) {
	for _, key := range []quarantine.Key{part, newContentKey(1)} {
		g := NewWithT(t)
		table := quarantine.NewTable(quarantine.DefaultConfig())
		now := recordCrashes(table, key, start, 1, 4) - second
		table.SetProven(now, key)
		for i := range 10 {
			now += time.Minute
			g.Expect(table.GrantTrial(now, key)).To(BeTrue())
			table.RecordCrash(now, quarantine.Crash{ID: key, Upstream: uint32(100 + i), Sent: now})
		}
	}
}

// Guards against trials whose callers leave before the crash, and are sent again at once.
func TestTrialWithoutAResultCountsAsFailed(t *testing.T) {
	g := NewWithT(t)
	cfg := quarantine.DefaultConfig()
	table := quarantine.NewTable(cfg)
	now := recordCrashes(table, part, start, 1, 4) - second
	trials := 0
	for until := now + 2*time.Minute; now < until; now += second / 10 {
		if table.GrantTrial(now, part) {
			trials++
		}
	}
	g.Expect(trials).To(BeNumerically("<=", 3))
}

// quarantinedWithSharedPart returns a table in which part is in quarantine, and with it a part that the
// same requests share and that is proven, and the time of the last crash.
func quarantinedWithSharedPart() (table *quarantine.Table, shared quarantine.Key, now time.Duration) {
	table, shared = quarantine.NewTable(quarantine.DefaultConfig()), quarantine.NewPartKey(8)
	recordCrashes(table, shared, start, 1, 4)
	now = recordCrashes(table, part, start, 1, 4) - second
	table.SetProven(now, shared)
	return table, shared, now
}

// Guards against waiting for the result of a trial whose request has ended, and against sending what may
// crash upstreams again and again for callers that leave.
func TestEndedTrialIsFollowedByAnother(t *testing.T) {
	g := NewWithT(t)
	table, shared, now := quarantinedWithSharedPart()
	trials := map[quarantine.Key]int{}
	for until := now + 100*second; now < until; now += second / 10 {
		for _, key := range []quarantine.Key{shared, part} {
			if table.GrantTrial(now, key) {
				trials[key]++
				table.EndTrial(now+second/20, key)
			}
		}
	}
	g.Expect(trials[shared]).To(BeNumerically(">", 100))
	g.Expect(trials[part]).To(BeNumerically("<=", 3))
}

// Guards against refusing for minutes what many requests share once the part is known that crashed the
// upstreams of their trials too.
func TestProvenKeyIsTriedOftenBesideTheOneThatCrashes(t *testing.T) {
	g := NewWithT(t)
	table, shared, now := quarantinedWithSharedPart()
	trials := map[quarantine.Key]int{}
	for until := now + 15*second; now < until; now += second / 10 {
		for _, key := range []quarantine.Key{shared, part} {
			if table.GrantTrial(now, key) {
				trials[key]++
				table.RecordCrash(now, quarantine.Crash{ID: key, Upstream: uint32(100 + len(trials)), Sent: now})
			}
		}
	}
	g.Expect(trials[shared]).To(BeNumerically(">=", 6))
	g.Expect(trials[part]).To(Equal(2))
}

// Guards against forgetting a crashing part while requests with it come, and against keeping it for ever.
func TestPartStaysInQuarantineWhileItIsRequested(t *testing.T) {
	g := NewWithT(t)
	cfg := quarantine.DefaultConfig()
	table := quarantine.NewTable(cfg)
	now := recordCrashes(table, part, start, 1, 4)
	for range 10 {
		now += cfg.QuarantineDuration / 2
		table.Touch(now, part)
		table.Expire(now)
		g.Expect(table.View().Status(part)).To(Equal(quarantine.Quarantined))
	}
	table.Expire(now + cfg.QuarantineDuration)
	g.Expect(table.View().Status(part)).To(Equal(quarantine.Normal))
}

// Guards against an operator's release that sends a part which still crashes upstreams to many of them.
func TestReleasedPartIsTriedOnce(t *testing.T) {
	g := NewWithT(t)
	cfg := quarantine.DefaultConfig()
	table := quarantine.NewTable(cfg)
	now := recordCrashes(table, part, start, 1, 4)
	for i := range 3 {
		now += cfg.Part.TrialDelays[i]
		g.Expect(table.GrantTrial(now, part)).To(BeTrue())
		table.RecordCrash(now, quarantine.Crash{ID: part, Upstream: uint32(100 + i), Sent: now})
	}
	notice, changed := table.RetryTrials(now, part)
	g.Expect(changed).To(BeTrue())
	g.Expect(notice.FailedTrials).To(BeZero())
	g.Expect(table.View().Status(part)).To(Equal(quarantine.Quarantined))
	other := quarantine.NewTable(cfg)
	other.Apply(now, notice)
	for _, t := range []*quarantine.Table{table, other} {
		g.Expect(t.GrantTrial(now+second, part)).To(BeTrue())
		g.Expect(t.GrantTrial(now+second, part)).To(BeFalse())
	}
}

// Guards against a flood of parts that hides the crashing one, takes memory, or displaces contents and
// the parts of other teams.
func TestCrashingPartIsFoundAmongTenThousand(t *testing.T) {
	for seed := range uint64(6) {
		findAmongTenThousand(t, seed)
	}
}

func findAmongTenThousand(t *testing.T, seed uint64) {
	t.Helper()
	g := NewWithT(t)
	cfg := quarantine.DefaultConfig()
	table, rnd := quarantine.NewTable(cfg), rand.New(rand.NewPCG(seed, 2))
	content, others := newContentKey(1), quarantine.NewPartKey(1)
	now := recordCrashes(table, content, start, 1, 2)
	table.RecordCrash(now, quarantine.Crash{ID: others, Team: "homes", Upstream: 1, Sent: now})
	crashes := 0
	for table.View().Status(part) != quarantine.Quarantined && crashes < 100 {
		crashes++
		now += second / 4
		keys := []quarantine.Key{part}
		for range 64 * 15 {
			keys = append(keys, quarantine.NewPartKey(uint64(100+rnd.IntN(10_000))))
		}
		rnd.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		for _, k := range keys {
			table.RecordCrash(now, quarantine.Crash{ID: k, Team: "schools", Upstream: uint32(10 + crashes), Sent: now - second/10})
		}
	}
	t.Logf("in quarantine after %d crashes", crashes)
	// At 17 crashes a second, three seconds after the fifth.
	g.Expect(crashes).To(BeNumerically("<=", 5+3*17))
	g.Expect(table.Len()).To(BeNumerically("<=", 2+cfg.MaxPerTeam))
	g.Expect(table.View().Status(content)).To(Equal(quarantine.Suspect))
	g.Expect(table.View().HasCrashes(others)).To(BeTrue())
}
