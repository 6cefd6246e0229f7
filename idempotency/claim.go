package idempotency

import "time"

// ListTolerance is by how many VMs two routers' lists may differ, while the list
// has changed lately, with their quorums still sharing a voter.
const ListTolerance = 2

// Quorum is the number of votes needed of n voters: two quorums drawn from
// lists that differ by so many VMs can't be disjoint.
func Quorum(n, tolerance int) int { return min(n, (n+tolerance)/2+1) }

// Result is what a claim has come to.
type Result int

// Results of a claim.
const (
	// Pending: votes are still to come.
	Pending Result = iota
	// Won: this owner, and no other, may run the key.
	Won
	// Taken: another owner has votes and may have run the key.
	Taken
	// NotRun: no quorum can be had now, and enough voters are free of the key to
	// prove that nobody ran it.
	NotRun
	// Unknown: no quorum can be had, and the key may have run.
	Unknown
)

// Claim counts the votes on one key for one owner.
type Claim struct {
	cfg    Config
	voters int
	// tolerance is by how many VMs other routers' lists may differ.
	tolerance int
	granted   int
	other     Owner
	taken     bool
	answered  int
	wonAt     time.Time
}

// NewClaim begins a claim that so many voters are asked about.
func NewClaim(cfg Config, voters, tolerance int) *Claim {
	return &Claim{cfg: cfg, voters: voters, tolerance: tolerance}
}

func (c *Claim) quorum() int { return Quorum(c.voters, c.tolerance) }

// Add counts a voter's answer.
func (c *Claim) Add(now time.Time, v Vote) {
	c.answered++
	switch {
	case v.Granted:
		c.granted++
	case !v.Abstained:
		c.taken = true
		c.other = v.Owner
	}
	if c.granted == c.quorum() {
		c.wonAt = now
	}
}

// AddMissing counts a voter that did not answer.
func (c *Claim) AddMissing() { c.answered++ }

// Result tells how the claim stands.
//
// A grant says that the voter had not voted before, so a quorum for somebody
// else would have to do without it, on a list that may hold some other
// voters. If too few are left for that, the key did not run.
func (c *Claim) Result() Result {
	switch {
	case c.granted >= c.quorum():
		return Won
	case c.answered < c.voters:
		return Pending
	case c.granted > c.voters+c.tolerance-c.quorum():
		return NotRun
	case c.taken:
		return Taken
	}
	return Unknown
}

// OtherOwner is an owner that has votes, where there is one.
func (c *Claim) OtherOwner() (Owner, bool) { return c.other, c.taken }

// Valid reports whether a won claim may still be acted on. Check it at the last
// moment before sending: a process frozen after its claim could wake when the
// voters have long forgotten it and another router has run the key.
func (c *Claim) Valid(now time.Time) bool {
	// The monotonic clock may stand still while a whole VM is suspended; the wall
	// clock shows that time once it is set right.
	age := max(now.Sub(c.wonAt), now.Round(0).Sub(c.wonAt.Round(0)))
	return !c.wonAt.IsZero() && age <= c.cfg.ClaimTTL
}
