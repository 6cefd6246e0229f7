package idempotency

import "time"

// ListTolerance is the number of VMs by which the lists of two routers may differ
// after a recent change while their quorums still share a voter.
const ListTolerance = 2

// Quorum returns the number of votes needed out of n voters, so that two quorums
// drawn from lists that differ by up to tolerance VMs overlap.
func Quorum(n, tolerance int) int { return min(n, (n+tolerance)/2+1) }

// Result is the state of a claim.
type Result int

// Results of a claim.
const (
	// Pending: votes are outstanding.
	Pending Result = iota
	// Won: only this owner may run the key.
	Won
	// Taken: another owner has votes and may have run the key.
	Taken
	// NotRun: no quorum is available now, and enough voters had no vote for the
	// key to prove that it did not run.
	NotRun
	// Unknown: no quorum is available, and the key may have run.
	Unknown
)

// VoteCount counts the votes on one key for one owner.
type VoteCount struct {
	cfg    Config
	voters int
	// tolerance is the number of VMs by which other routers' lists may differ.
	tolerance  int
	granted    int
	otherOwner Owner
	taken      bool
	replies    int
	wonAt      time.Time
}

// NewVoteCount returns a count without votes for a claim that is put to the given number of voters.
func NewVoteCount(cfg Config, voters, tolerance int) *VoteCount {
	return &VoteCount{cfg: cfg, voters: voters, tolerance: tolerance}
}

func (c *VoteCount) quorum() int { return Quorum(c.voters, c.tolerance) }

// Add counts a voter's reply.
func (c *VoteCount) Add(now time.Time, v Vote) {
	c.replies++
	switch {
	case v.Granted:
		c.granted++
	case !v.Abstained:
		c.taken = true
		c.otherOwner = v.Owner
	}
	if c.granted == c.quorum() {
		c.wonAt = now
	}
}

// AddMissing counts a voter that did not reply.
func (c *VoteCount) AddMissing() { c.replies++ }

// Result returns the current state of the claim.
//
// A granted vote means that the voter had not voted for another owner, so any
// other quorum consists of the remaining voters and of up to tolerance voters
// from a different list. If these are too few for a quorum, the key did not run.
func (c *VoteCount) Result() Result {
	switch {
	case c.granted >= c.quorum():
		return Won
	case c.replies < c.voters:
		return Pending
	case c.granted > c.voters+c.tolerance-c.quorum():
		return NotRun
	case c.taken:
		return Taken
	}
	return Unknown
}

// OtherOwner returns another owner that holds a vote, if there is one.
func (c *VoteCount) OtherOwner() (Owner, bool) { return c.otherOwner, c.taken }

// Usable reports whether a won claim may still be used. Check it immediately
// before sending: a process that was paused after winning its claim may resume
// when the voters' records have expired and another router has run the key.
func (c *VoteCount) Usable(now time.Time) bool {
	// The monotonic clock may stop while the VM is suspended; the wall clock
	// includes that time once it is synchronized again.
	age := max(now.Sub(c.wonAt), now.Round(0).Sub(c.wonAt.Round(0)))
	return !c.wonAt.IsZero() && age <= c.cfg.ClaimTTL
}
