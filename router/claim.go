package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/aspenswitch/aspenswitch/idempotency"
)

// ClaimResult is the result of claiming a key.
type ClaimResult struct {
	Result idempotency.Result
	// KeyClaim is set if Result is Won.
	KeyClaim *KeyClaim
	// Record is the record of the first run if another attempt owns the key.
	Record idempotency.Record
}

// KeyClaim is a won claim on a key: the right to send its request once. Exactly
// one of Abandon and Complete must be called.
type KeyClaim struct {
	r      *Router
	key    string
	owner  idempotency.Owner
	voters []string
	votes  *idempotency.VoteCount
	// list is the list that the voters were chosen from; tolerance is the number
	// of VMs by which other routers' lists may differ from it.
	list      *vmList
	tolerance int
}

// Usable reports whether the claim may still be used. Check it immediately before
// sending.
func (k *KeyClaim) Usable() bool { return k.votes.Usable(time.Now()) }

// Abandon releases the claim. The request must not have been sent and must not be
// sent later.
func (k *KeyClaim) Abandon() {
	k.r.post(abandonRun{key: k.key})
	k.r.releaseVotes(k.key, k.owner, k.voters)
}

// Complete stores the response for repeats of the key. A nil response means that
// it was lost.
func (k *KeyClaim) Complete(response *idempotency.StoredResponse) {
	k.r.post(completeRun{key: k.key, response: response})
}

// voteTimeout bounds the wait for votes; recordTimeout bounds the wait for the
// response of a run at another router.
const (
	voteTimeout        = time.Second
	recordTimeout      = 30 * time.Second
	maxClaimAttempts   = 3
	maxClaimRetryDelay = 50 * time.Millisecond
)

// Claim requests the votes of the key's voters. If another attempt won the key,
// the result contains the record of its run.
func (r *Router) Claim(ctx context.Context, key string) ClaimResult {
	result := ClaimResult{Result: idempotency.Unknown}
	for range maxClaimAttempts {
		result = r.claimOnce(ctx, key)
		if result.Result != idempotency.Taken || result.Record.State != idempotency.Absent {
			return result
		}
		// Concurrent attempts split the votes, or the owner abandoned the key:
		// retry after a random delay.
		time.Sleep(rand.N(maxClaimRetryDelay))
	}
	result.Result = idempotency.Unknown
	return result
}

func (r *Router) claimOnce(ctx context.Context, key string) ClaimResult {
	list := r.vms.Load()
	if list == nil || !slices.Contains(list.names, r.cfg.Name) {
		// The voters can't be determined without a list, or if this router was
		// removed from it.
		return ClaimResult{Result: idempotency.Unknown}
	}
	tolerance := list.tolerance(time.Now(), r.cfg.MaxVMListLag)
	claim := &KeyClaim{
		r: r, key: key, voters: r.voters(list, key), list: list, tolerance: tolerance,
		owner: idempotency.Owner{
			Router: r.cfg.Name, Incarnation: r.cfg.Incarnation, Attempt: r.lastID.Add(1),
		},
	}
	claim.votes = r.collectVotes(ctx, claim)
	result := claim.votes.Result()
	if result == idempotency.Won {
		r.post(beginRun{key: key})
		return ClaimResult{Result: result, KeyClaim: claim}
	}
	r.releaseVotes(key, claim.owner, claim.voters)
	if other, taken := claim.votes.OtherOwner(); taken && result == idempotency.Taken {
		return r.resultFromOwner(ctx, key, other)
	}
	return ClaimResult{Result: result}
}

// voters returns the VMs that vote on a key: the highest-ranked ones of the
// platform's list by rendezvous hashing.
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

// collectVotes queries all voters in parallel and returns as soon as the result is
// decided.
func (r *Router) collectVotes(ctx context.Context, keyClaim *KeyClaim) *idempotency.VoteCount {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	voteCount := idempotency.NewVoteCount(r.cfg.Idempotency, len(keyClaim.voters), keyClaim.tolerance)
	votes := make(chan *idempotency.Vote, len(keyClaim.voters))
	for _, name := range keyClaim.voters {
		go func() { votes <- r.requestVote(ctx, name, keyClaim) }()
	}
	for range keyClaim.voters {
		if v := <-votes; v != nil {
			voteCount.Add(time.Now(), *v)
		} else {
			voteCount.AddMissing()
		}
		if voteCount.Result() != idempotency.Pending {
			break
		}
	}
	return voteCount
}

// voteRequest returns the parameter of methodVote. A claim that tolerates no
// difference between lists includes the digest of its list.
func (k *KeyClaim) voteRequest() keyMessage {
	m := keyMessage{Key: k.key, Owner: k.owner}
	if k.tolerance == 0 {
		m.List = k.list.digest
	}
	return m
}

func (r *Router) requestVote(ctx context.Context, name string, claim *KeyClaim) *idempotency.Vote {
	if name == r.cfg.Name {
		v, err := r.localVote(ctx, claim.voteRequest())
		if err != nil {
			return nil
		}
		return &v
	}
	var v idempotency.Vote
	if err := r.mesh.Call(ctx, name, methodVote, claim.voteRequest(), &v); err != nil {
		return nil
	}
	return &v
}

// localVote requests a vote from this router's own voter.
func (r *Router) localVote(ctx context.Context, m keyMessage) (idempotency.Vote, error) {
	if list := r.vms.Load(); m.List != 0 && (list == nil || m.List != list.digest) {
		// The quorum of the requesting router is valid only if all voters have
		// its list.
		return idempotency.Vote{Abstained: true}, nil
	}
	reply := make(chan idempotency.Vote, 1)
	r.post(castVote{key: m.Key, owner: m.Owner, reply: reply})
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return idempotency.Vote{}, ctx.Err()
	case <-r.stopped:
		return idempotency.Vote{}, Error.New("stopped")
	}
}

// releaseVotes releases the votes of a claim that was not won or whose request was
// not sent.
func (r *Router) releaseVotes(key string, owner idempotency.Owner, voters []string) {
	for _, name := range voters {
		if name == r.cfg.Name {
			r.post(releaseVote{key: key, owner: owner})
			continue
		}
		r.mesh.Notify(name, methodRelease, keyMessage{Key: key, Owner: owner})
	}
}

// resultFromOwner fetches the record of a key from the router that owns it.
func (r *Router) resultFromOwner(ctx context.Context, key string, owner idempotency.Owner) ClaimResult {
	result := ClaimResult{Result: idempotency.Taken, Record: idempotency.Record{State: idempotency.Lost}}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	record, err := r.requestRecord(ctx, key, owner)
	if err != nil || record.Incarnation != owner.Incarnation {
		// The owner is unreachable, or it restarted and lost its records: the key
		// may have run.
		return result
	}
	result.Record = record.Record
	return result
}

func (r *Router) requestRecord(ctx context.Context, key string, owner idempotency.Owner) (record ownedRecord, err error) {
	if owner.Router == r.cfg.Name {
		return r.awaitRecord(ctx, key)
	}
	err = r.mesh.Call(ctx, owner.Router, methodRecord, keyMessage{Key: key, Owner: owner}, &record)
	return record, err
}

// ownedRecord is a record with the incarnation of the router that owns it.
type ownedRecord struct {
	idempotency.Record
	Incarnation uint64 `json:"inc"`
}

// awaitRecord waits until a key is no longer running on this router and returns
// its record.
func (r *Router) awaitRecord(ctx context.Context, key string) (ownedRecord, error) {
	for {
		reply := make(chan recordReply, 1)
		r.post(getRecord{key: key, reply: reply})
		var got recordReply
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
