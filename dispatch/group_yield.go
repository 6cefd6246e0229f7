package dispatch

import (
	"math"
	"time"
)

// groupYield is what the usable engines of a group can do together.
type groupYield struct {
	updatedAt time.Duration
	// speed is the prefill that they do in a unit of time, in units of the configured prefill of
	// one engine. slots and kvTokens are their sums.
	speed    float64
	slots    int
	kvTokens float64
}

// yieldUpdateInterval is the time between updates of the yield, short against the time for which
// room is reserved.
const yieldUpdateInterval = 50 * time.Millisecond

// updateYield updates the yield of the group.
func (c *Core) updateYield(now time.Duration) {
	if now-c.groupYield.updatedAt < yieldUpdateInterval && c.groupYield.updatedAt != 0 {
		return
	}
	y := groupYield{updatedAt: now}
	for _, u := range c.upstreams {
		if u.usable(now) {
			y.speed += 1 / u.learnt.factor
			y.slots += u.Slots
			y.kvTokens += c.cfg.MaxKVFraction * float64(u.KVTokens)
		}
	}
	c.groupYield = y
}

// usable reports whether requests can be sent to the upstream at any rate.
func (u *upstream) usable(now time.Duration) bool {
	return now >= u.bannedUntil && !u.warming(now)
}

// groupTime returns the time for which a request would occupy all engines of the group together,
// by what binds: their prefill, their slots or their memory.
func (c *Core) groupTime(now time.Duration, j *job, candidate choice) time.Duration {
	c.updateYield(now)
	y := &c.groupYield
	if y.speed <= 0 {
		return 0
	}
	prefill := float64(candidate.plan.cost) / candidate.u.prefillFactor() / y.speed
	residence := float64(candidate.plan.cost) + c.residence.perToken()*float64(j.Output)
	slots := residence / float64(max(y.slots, 1))
	memory := residence * float64(j.reservedKV) / max(y.kvTokens, 1)
	return time.Duration(math.Ceil(max(prefill, slots, memory) * c.restriction(now, j)))
}

// restriction returns the ratio of the group's speed to that of the upstreams that may serve a
// request.
func (c *Core) restriction(now time.Duration, j *job) float64 {
	if len(j.Regions) == 0 && len(j.Avoid) == 0 && j.Version == "" {
		return 1
	}
	speed := 0.0
	for _, u := range c.upstreams {
		if u.usable(now) && u.accepts(&j.Request) {
			speed += 1 / u.learnt.factor
		}
	}
	return c.groupYield.speed / max(speed, minFactor)
}

// residence measures how long answers occupy a slot of an engine after their first byte.
type residence struct{ tokens, duration float64 }

const (
	// residenceDecay is the weight of the past, which averages over about 200 answers.
	residenceDecay = 0.995
	// priorResidenceTokens is the weight of the prior: no time per token.
	priorResidenceTokens = 1000
)

// recordResidence records that an answer has ended.
func (c *Core) recordResidence(now time.Duration, j *job, o Outcome) {
	if c.reserves() && o == Served && j.startedAt > 0 {
		c.residence.add(j.Output, now-j.startedAt)
	}
}

func (r *residence) add(tokens int, took time.Duration) {
	r.tokens = r.tokens*residenceDecay + float64(tokens)
	r.duration = r.duration*residenceDecay + float64(took)
}

// perToken returns the time in a slot per token that a request may generate.
func (r *residence) perToken() float64 { return r.duration / (r.tokens + priorResidenceTokens) }
