package idempotency

import "time"

// Owner identifies one attempt to run a key by one incarnation of a router. The
// attempt number keeps two callers with the same key at one router from sharing a
// vote.
type Owner struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"inc"`
	Attempt     uint64 `json:"attempt"`
}

// Vote is a voter's reply.
type Vote struct {
	// Granted is set if the requesting owner has the vote.
	Granted bool `json:"granted,omitempty"`
	// Abstained is set if the voter may have lost an earlier vote on this key.
	Abstained bool `json:"abstained,omitempty"`
	// Owner holds the vote if it was neither granted nor abstained.
	Owner Owner `json:"owner,omitzero"`
}

// storedVote is a granted vote.
type storedVote struct {
	owner     Owner
	grantedAt time.Time
}

// Voter grants one vote per key. It is not safe for concurrent use.
type Voter struct {
	cfg Config
	// started is compared by wall clock, since the creation times of keys are
	// wall times.
	started   time.Time
	votes     map[string]storedVote
	lastSweep time.Time
}

// NewVoter returns a voter for a process that started at the given time.
func NewVoter(cfg Config, started time.Time) *Voter {
	return &Voter{cfg: cfg, started: started, votes: map[string]storedVote{}, lastSweep: started}
}

// Vote returns the vote on a key for the requesting owner.
func (v *Voter) Vote(now time.Time, key string, owner Owner) Vote {
	v.sweep(now)
	if vote, ok := v.votes[key]; ok {
		if vote.owner == owner {
			return Vote{Granted: true}
		}
		return Vote{Owner: vote.owner}
	}
	if !v.historyCovers(now, key) {
		return Vote{Abstained: true}
	}
	v.votes[key] = storedVote{owner: owner, grantedAt: now}
	return Vote{Granted: true}
}

// historyCovers reports whether this process would still have any earlier vote on
// the key. Without this check, a restarted voter would grant a second vote for a
// key that has run.
//
// A creation time in the future is rejected: the caller's clock is off by more
// than the allowed skew, and the key may be older than this process.
func (v *Voter) historyCovers(now time.Time, key string) bool {
	if now.Sub(v.started) >= v.cfg.Retention {
		return true
	}
	created, ok := CreationTime(key)
	if !ok || created.After(now.Add(v.cfg.MaxClockSkew)) {
		return false
	}
	return created.After(v.started.Add(v.cfg.MaxClockSkew))
}

// uuidV7Resolution is the resolution of the time in a UUIDv7, which is truncated
// to milliseconds.
const uuidV7Resolution = time.Millisecond

// VotesFrom returns the wall time from which a voter that started at the given
// time votes on newly created keys, given a caller with the same clock. A router
// that accepted a non-repeatable request earlier would needlessly report its
// outcome as "unknown".
func (cfg Config) VotesFrom(started time.Time) time.Time {
	return started.Add(cfg.MaxClockSkew + 2*uuidV7Resolution)
}

// Release removes an owner's vote. The owner must not have sent the request and
// must not send it later.
func (v *Voter) Release(key string, owner Owner) {
	if v.votes[key].owner == owner {
		delete(v.votes, key)
	}
}

// sweep removes expired votes. It runs at most once per MaxClockSkew.
func (v *Voter) sweep(now time.Time) {
	if now.Sub(v.lastSweep) < v.cfg.MaxClockSkew {
		return
	}
	v.lastSweep = now
	for key, vote := range v.votes {
		if now.Sub(vote.grantedAt) > v.cfg.Retention {
			delete(v.votes, key)
		}
	}
}

// Len returns the number of stored votes.
func (v *Voter) Len() int { return len(v.votes) }
