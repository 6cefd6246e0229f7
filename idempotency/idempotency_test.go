package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/idempotency"
)

var cfg = idempotency.DefaultConfig()

func owner(n uint64) idempotency.Owner {
	return idempotency.Owner{Router: "vm1", Incarnation: 1, Attempt: n}
}

// key returns a UUIDv7 created at the given time, prefixed with a team ID.
func key(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return "3/" + id.String()
}

// Guards against a second run of a key when a voter restarts between two attempts
// and has lost its vote. It must abstain on every key that may be older than its
// process, even if the caller's clock is ahead.
func TestRestartedVoterAbstainsOnOlderKeys(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	v := idempotency.NewVoter(cfg, start)
	now := start.Add(time.Minute)
	g.Expect(v.Vote(now, key(start.Add(-time.Second)), owner(1)).Abstained).To(BeTrue())
	g.Expect(v.Vote(now, key(start.Add(cfg.MaxClockSkew)), owner(1)).Abstained).To(BeTrue(), "within the clocks' skew")
	g.Expect(v.Vote(now, key(now.Add(time.Hour)), owner(1)).Abstained).To(BeTrue(), "created in the future")
	g.Expect(v.Vote(now, "no-uuid", owner(1)).Abstained).To(BeTrue(), "of unknown age")
	g.Expect(v.Vote(now, key(now), owner(1)).Granted).To(BeTrue())
	old := start.Add(cfg.Retention + time.Second)
	g.Expect(v.Vote(old, "no-uuid", owner(1)).Granted).To(BeTrue(), "after a full retention period")
}

// Guards against a second vote while a caller repeats a key at many routers for
// ten minutes. Only the first attempt has the vote, and the others get its owner.
func TestVoteStandsForAsLongAsCallersRepeat(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	v := idempotency.NewVoter(cfg, start)
	now := start.Add(time.Minute)
	k := key(now)
	g.Expect(v.Vote(now, k, owner(1)).Granted).To(BeTrue())
	for range 100 {
		now = now.Add(6 * time.Second)
		g.Expect(v.Vote(now, k, owner(2))).To(Equal(idempotency.Vote{Owner: owner(1)}))
	}
	v.Release(k, owner(2))
	g.Expect(v.Vote(now, k, owner(3)).Granted).To(BeFalse(), "released by another owner")
	v.Release(k, owner(1))
	g.Expect(v.Vote(now, k, owner(3)).Granted).To(BeTrue())
}

// Guards against a second run by a process that wins its claim and is paused
// before it sends. The claim must expire before the votes do, since another
// router may run the key after that.
func TestClaimEndsBeforeVotersForget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	c := idempotency.NewVoteCount(cfg, 3, 0)
	c.Add(now, idempotency.Vote{Granted: true})
	g.Expect(c.Usable(now)).To(BeFalse())
	c.Add(now, idempotency.Vote{Granted: true})
	g.Expect(c.Result()).To(Equal(idempotency.Won))
	g.Expect(c.Usable(now.Add(cfg.ClaimTTL))).To(BeTrue())
	g.Expect(c.Usable(now.Add(cfg.ClaimTTL + time.Second))).To(BeFalse())
	g.Expect(2 * cfg.ClaimTTL).To(BeNumerically("<", cfg.Retention))
}

// Guards against a false "not-run" outcome: it may be reported only if too few
// voters remain for another owner to have had a quorum.
func TestNotRunIsToldOnlyWhereItIsProved(t *testing.T) {
	g := NewWithT(t)
	claim := func(voters, granted, abstained int) idempotency.Result {
		c := idempotency.NewVoteCount(cfg, voters, 0)
		for range granted {
			c.Add(time.Now(), idempotency.Vote{Granted: true})
		}
		for range abstained {
			c.Add(time.Now(), idempotency.Vote{Abstained: true})
		}
		for range voters - granted - abstained {
			c.AddMissing()
		}
		return c.Result()
	}
	g.Expect(claim(7, 4, 0)).To(Equal(idempotency.Won))
	g.Expect(claim(7, 3, 0)).To(Equal(idempotency.Unknown), "the four others may have run it")
	g.Expect(claim(6, 3, 0)).To(Equal(idempotency.NotRun), "the three others are not a quorum of six")
	g.Expect(claim(6, 2, 4)).To(Equal(idempotency.Unknown))
}

// Guards against disjoint quorums when the VM lists of two routers differ by two
// because one still has two VMs that were replaced.
func TestQuorumsOfDifferingListsShareAVoter(t *testing.T) {
	for n := 1; n <= 20; n++ {
		q := idempotency.Quorum(n, idempotency.ListTolerance)
		if union := n + idempotency.ListTolerance; 2*q <= union && q < n {
			t.Errorf("%d voters: two disjoint quorums of %d fit into %d VMs", n, q, union)
		}
	}
}

// Guards against two runs of a key: of any number of attempts, with lost votes,
// restarted voters and abandoned attempts, at most one may run it.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 7
		now := time.Unix(1_700_000_000, 0)
		voters := make([]*idempotency.Voter, n)
		for i := range n {
			voters[i] = idempotency.NewVoter(cfg, now.Add(-time.Hour))
		}
		k := key(now)
		runs := 0
		for attempt := range uint64(rapid.IntRange(1, 12).Draw(t, "attempts")) {
			c := idempotency.NewVoteCount(cfg, n, 0)
			for i, v := range voters {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				switch rapid.SampledFrom([]string{"vote", "vote", "vote", "lost", "unheard", "restart"}).Draw(t, fmt.Sprint("voter", i)) {
				case "vote":
					c.Add(now, v.Vote(now, k, owner(attempt)))
				case "lost":
					c.AddMissing()
				case "unheard":
					v.Vote(now, k, owner(attempt))
					c.AddMissing()
				case "restart":
					voters[i] = idempotency.NewVoter(cfg, now)
					c.AddMissing()
				}
			}
			sends := rapid.Bool().Draw(t, "sends")
			if c.Result() == idempotency.Won && sends {
				runs++
				continue
			}
			for _, v := range voters {
				if rapid.Bool().Draw(t, "released") {
					v.Release(k, owner(attempt))
				}
			}
			if c.Result() == idempotency.NotRun && runs > 0 {
				t.Fatal("reported not-run, but it ran")
			}
		}
		if runs > 1 {
			t.Fatalf("ran %d times", runs)
		}
	})
}
