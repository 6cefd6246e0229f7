package idempotency

import "time"

// Owner is one attempt to run a key, by one incarnation of a router. Attempts
// differ, so that two callers with one key at one router don't share a vote.
type Owner struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"inc"`
	Attempt     uint64 `json:"attempt"`
}

// Vote is a voter's answer.
type Vote struct {
	// Granted gives the vote to the asking owner.
	Granted bool `json:"granted,omitempty"`
	// Abstained: the voter may have forgotten a vote on this key.
	Abstained bool `json:"abstained,omitempty"`
	// Owner has the vote, if it was neither granted nor abstained.
	Owner Owner `json:"owner,omitzero"`
}

// ballot is a vote given.
type ballot struct {
	owner Owner
	at    time.Time
}

// Voter gives one vote a key. It is not safe for concurrent use.
type Voter struct {
	cfg Config
	// started is by the wall clock, since mint times are.
	started time.Time
	votes   map[string]ballot
	sweepAt time.Time
}

// NewVoter returns the voter of a process that started at the given time.
func NewVoter(cfg Config, started time.Time) *Voter {
	return &Voter{cfg: cfg, started: started, votes: map[string]ballot{}, sweepAt: started}
}

// Vote answers an owner that asks for a key.
func (v *Voter) Vote(now time.Time, key string, owner Owner) Vote {
	v.sweep(now)
	if b, ok := v.votes[key]; ok {
		if b.owner == owner {
			return Vote{Granted: true}
		}
		return Vote{Owner: b.owner}
	}
	if !v.remembers(now, key) {
		return Vote{Abstained: true}
	}
	v.votes[key] = ballot{owner: owner, at: now}
	return Vote{Granted: true}
}

// remembers reports whether this process would know of an earlier vote on the
// key. Without this check a restarted voter would vote a second time for a key
// that has run.
//
// A mint time in the future is not believed: the caller's clock is off by more
// than the skew, and the key may be older than this process after all.
func (v *Voter) remembers(now time.Time, key string) bool {
	if now.Sub(v.started) >= v.cfg.Retention {
		return true
	}
	minted, ok := CreationTime(key)
	if !ok || minted.After(now.Add(v.cfg.MaxClockSkew)) {
		return false
	}
	return minted.After(v.started.Add(v.cfg.MaxClockSkew))
}

// mintResolution is what a UUIDv7 tells of its mint time: it cuts off parts of a
// millisecond.
const mintResolution = time.Millisecond

// VotesFrom is the wall time from which a voter that started at the given time
// votes on keys that are made then, by a caller with the same clock. A router
// that takes bookings earlier answers them "unknown" for nothing.
func (cfg Config) VotesFrom(started time.Time) time.Time {
	return started.Add(cfg.MaxClockSkew + 2*mintResolution)
}

// Release takes back a vote whose owner says that it has not sent the request
// and never will.
func (v *Voter) Release(key string, owner Owner) {
	if v.votes[key].owner == owner {
		delete(v.votes, key)
	}
}

// sweep forgets votes that have stood long enough.
func (v *Voter) sweep(now time.Time) {
	if now.Sub(v.sweepAt) < v.cfg.MaxClockSkew {
		return
	}
	v.sweepAt = now
	for key, b := range v.votes {
		if now.Sub(b.at) > v.cfg.Retention {
			delete(v.votes, key)
		}
	}
}

// Len is the number of votes that stand.
func (v *Voter) Len() int { return len(v.votes) }
