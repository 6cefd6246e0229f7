package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/idempotency"
)

// ClaimResult is what came of claiming a key.
type ClaimResult struct {
	Result idempotency.Result
	// Claim is set after Won.
	Claim *KeyClaim
	// Record is the first run's, where another attempt owns the key.
	Record idempotency.Record
}

// KeyClaim is the right to run a key once. Exactly one of Drop and Settle must be
// called.
type KeyClaim struct {
	r      *Router
	key    string
	owner  idempotency.Owner
	voters []string
	claim  *idempotency.Claim
	// list is what the voters were chosen from, tolerance by how much others'
	// lists may differ.
	list      *vmList
	tolerance int
}

// Valid reports whether the right still stands. Check it right before sending.
func (k *KeyClaim) Valid() bool { return k.claim.Valid(time.Now()) }

// Abandon gives the right up; the request was not sent and never will be.
func (k *KeyClaim) Abandon() {
	k.r.post(drop{key: k.key})
	k.r.releaseVotes(k.key, k.owner, k.voters)
}

// Complete keeps the run's answer for repeats; nil if it was lost.
func (k *KeyClaim) Complete(answer *idempotency.Response) {
	k.r.post(settle{key: k.key, answer: answer})
}

// voteTimeout bounds the wait for a vote, answerTimeout the wait for the answer
// of a run that goes on elsewhere.
const (
	voteTimeout   = time.Second
	answerTimeout = 30 * time.Second
	claimTries    = 3
	claimJitter   = 50 * time.Millisecond
)

// Claim asks the key's voters for the right to run it. Where another attempt
// won, the record tells how its run went.
func (r *Router) Claim(ctx context.Context, key string) ClaimResult {
	claimed := ClaimResult{Result: idempotency.Unknown}
	for range claimTries {
		claimed = r.claimOnce(ctx, key)
		if claimed.Result != idempotency.Taken || claimed.Record.State != idempotency.Absent {
			return claimed
		}
		// Two attempts at once split the votes, or the owner has given up: try
		// again after a random wait.
		time.Sleep(rand.N(claimJitter))
	}
	claimed.Result = idempotency.Unknown
	return claimed
}

func (r *Router) claimOnce(ctx context.Context, key string) ClaimResult {
	list := r.vms.Load()
	if list == nil || !slices.Contains(list.names, r.cfg.Name) {
		// Without a list, or dropped from it, this router can't know the voters.
		return ClaimResult{Result: idempotency.Unknown}
	}
	tolerance := list.tolerance(time.Now(), r.cfg.MaxVMListLag)
	run := &KeyClaim{
		r: r, key: key, voters: r.voters(list, key), list: list, tolerance: tolerance,
		owner: idempotency.Owner{
			Router: r.cfg.Name, Incarnation: r.cfg.Incarnation, Attempt: r.lastID.Add(1),
		},
	}
	run.claim = r.collectVotes(ctx, run)
	result := run.claim.Result()
	if result == idempotency.Won {
		r.post(begin{key: key})
		return ClaimResult{Result: result, Claim: run}
	}
	r.releaseVotes(key, run.owner, run.voters)
	if other, taken := run.claim.OtherOwner(); taken && result == idempotency.Taken {
		return r.askOwner(ctx, key, other)
	}
	return ClaimResult{Result: result}
}

// voters returns the VMs that vote on a key: the first of the platform's list by
// rendezvous hashing.
func (r *Router) voters(list *vmList, key string) []string {
	names := slices.Clone(list.names)
	slices.SortFunc(names, func(a, b string) int {
		x, y := xxhash.Sum64String(a+"\x00"+key), xxhash.Sum64String(b+"\x00"+key)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return names[:min(len(names), r.cfg.Idempotency.Voters)]
}

// collectVotes asks all voters at once and stops as soon as the result is known.
func (r *Router) collectVotes(ctx context.Context, run *KeyClaim) *idempotency.Claim {
	ctx, done := context.WithTimeout(ctx, voteTimeout)
	defer done()
	claim := idempotency.NewClaim(r.cfg.Idempotency, len(run.voters), run.tolerance)
	answers := make(chan *idempotency.Vote, len(run.voters))
	for _, name := range run.voters {
		go func() { answers <- r.askVote(ctx, name, run) }()
	}
	for range run.voters {
		if v := <-answers; v != nil {
			claim.Add(time.Now(), *v)
		} else {
			claim.AddMissing()
		}
		if claim.Result() != idempotency.Pending {
			break
		}
	}
	return claim
}

// message asks for a vote. A run that tolerates no difference between lists
// tells which one it has.
func (k *KeyClaim) message() keyMessage {
	m := keyMessage{Key: k.key, Owner: k.owner}
	if k.tolerance == 0 {
		m.List = k.list.digest
	}
	return m
}

func (r *Router) askVote(ctx context.Context, name string, run *KeyClaim) *idempotency.Vote {
	if name == r.cfg.Name {
		v, err := r.vote(ctx, run.message())
		if err != nil {
			return nil
		}
		return &v
	}
	var v idempotency.Vote
	if err := r.mesh.Call(ctx, name, methodVote, run.message(), &v); err != nil {
		return nil
	}
	return &v
}

// vote asks this router's own voter.
func (r *Router) vote(ctx context.Context, m keyMessage) (idempotency.Vote, error) {
	if list := r.vms.Load(); m.List != 0 && (list == nil || m.List != list.digest) {
		// The asking router counts on everybody having its list.
		return idempotency.Vote{Abstained: true}, nil
	}
	reply := make(chan idempotency.Vote, 1)
	r.post(vote{key: m.Key, owner: m.Owner, reply: reply})
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return idempotency.Vote{}, ctx.Err()
	case <-r.stopped:
		return idempotency.Vote{}, Error.New("stopped")
	}
}

// releaseVotes gives back votes of a claim that was not won, or whose request
// was never sent.
func (r *Router) releaseVotes(key string, owner idempotency.Owner, voters []string) {
	for _, name := range voters {
		if name == r.cfg.Name {
			r.post(release{key: key, owner: owner})
			continue
		}
		r.mesh.Notify(name, methodRelease, keyMessage{Key: key, Owner: owner})
	}
}

// askOwner asks the router that won a key how its run went.
func (r *Router) askOwner(ctx context.Context, key string, owner idempotency.Owner) ClaimResult {
	claimed := ClaimResult{Result: idempotency.Taken, Record: idempotency.Record{State: idempotency.Lost}}
	ctx, done := context.WithTimeout(ctx, answerTimeout)
	defer done()
	record, err := r.recallFrom(ctx, key, owner)
	if err != nil || record.Incarnation != owner.Incarnation {
		// The owner is gone, or restarted without memory: the key may have run.
		return claimed
	}
	claimed.Record = record.Record
	return claimed
}

func (r *Router) recallFrom(ctx context.Context, key string, owner idempotency.Owner) (record ownedRecord, err error) {
	if owner.Router == r.cfg.Name {
		return r.recall(ctx, key)
	}
	err = r.mesh.Call(ctx, owner.Router, methodAnswer, keyMessage{Key: key, Owner: owner}, &record)
	return record, err
}

// ownedRecord is a record with the incarnation of the router that gives it.
type ownedRecord struct {
	idempotency.Record
	Incarnation uint64 `json:"inc"`
}

// recall waits for the end of a key's run here and returns its record.
func (r *Router) recall(ctx context.Context, key string) (ownedRecord, error) {
	for {
		reply := make(chan recalled, 1)
		r.post(recall{key: key, reply: reply})
		var got recalled
		select {
		case got = <-reply:
		case <-r.stopped:
			return ownedRecord{}, Error.New("stopped")
		}
		if got.done == nil {
			return ownedRecord{Record: got.record, Incarnation: r.cfg.Incarnation}, nil
		}
		select {
		case <-got.done:
		case <-ctx.Done():
			return ownedRecord{}, ctx.Err()
		}
	}
}
