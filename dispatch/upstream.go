package dispatch

import (
	"math"
	"time"

	"github.com/aspenswitch/aspenswitch/warmup"
)

// Member describes an upstream of the group.
type Member struct {
	Incarnation
	Slots    int
	KVTokens int
	// CopyPerToken is the time to copy a cached token from another engine, or 0 if the
	// upstream can't copy.
	CopyPerToken time.Duration
	// WarmUntil is the end of the warm-up, as far as known.
	WarmUntil time.Duration
	// WarmUpDuration is the length of a warm-up after a restart, and WarmUpRate the
	// requests per second that this core may send meanwhile. If WarmUpDuration is 0, there
	// is no bound.
	WarmUpDuration time.Duration
	WarmUpRate     float64
	// RequestsPerProbe is the number of requests that this core may send between two probes
	// while probes are required, or 0 if the upstream can't be probed.
	RequestsPerProbe int
	// Domain is the failure domain, Region the region that it belongs to.
	Domain, Region string
	// Version is the version of the upstream's software, "" if unknown.
	Version string
}

// upstream is the core's model of an upstream.
type upstream struct {
	Member
	cfg *Config
	// queue holds the jobs that wait here for the upstream, unordered.
	queue []*job
	// prefills holds the jobs sent and not started, also those of a plain service.
	prefills   prefillQueue
	running    int
	reservedKV int
	cache      *cache
	fit        prefillFit
	// groupFit is the fit over the engines of the group.
	groupFit *prefillFit
	// learnt is the estimate from both, as of estimatedAt.
	learnt      estimate
	estimatedAt time.Duration
	// reported is what the upstream states of its load, nil if it doesn't state its present speed, and
	// slowdown the estimate of that speed as of estimatedAt, 1 if it doesn't.
	reported *reportedLoad
	slowdown float64
	// utilization is the averaged fraction of time in which there was a backlog.
	utilization float64
	updatedAt   time.Duration
	// failureRate averages over requests, with 1 for a failed one; serviceMs averages the
	// service time of a plain service in milliseconds.
	failureRate, serviceMs average
	bannedUntil            time.Duration
	banDuration            time.Duration
	order                  int
	// lastResponseAt is when the upstream last responded.
	lastResponseAt time.Duration
	throttle       prefillThrottle
	// prefillYield is shared by the group.
	prefillYield *prefillYield
	warmUp       warmup.Bucket
	// presumedWarmAt is the end of the warm-up according to the upstream itself, or of the
	// one it would need if it restarted while it was unreachable.
	presumedWarmAt time.Duration
	probing        warmup.Probing
}

// defaultServiceMs is the assumed service time of a plain service, in milliseconds, before
// any was measured.
const defaultServiceMs = 40

func newUpstream(now time.Duration, m Member, cfg *Config, yield *prefillYield, groupFit *prefillFit) *upstream {
	u := &upstream{Member: m, cfg: cfg, prefillYield: yield, groupFit: groupFit, cache: newCache(), updatedAt: now, slowdown: 1}
	u.updateEstimate(now)
	return u
}

// waitSteps is the maximum number of steps that a prompt waits for if it doesn't follow another:
// the one in progress, its own last one and the report of it.
const waitSteps = 3

// estimateInterval is the time between updates of the estimate of an engine that had no answer
// meanwhile, from the answers of others.
const estimateInterval = 50 * time.Millisecond

// updateEstimate updates the learnt performance of an engine. Engines of one service differ;
// one with few answers is taken for the mean of its group, a group with few answers for what
// is configured.
func (u *upstream) updateEstimate(now time.Duration) {
	u.estimatedAt = now
	u.updateSlowdown(now)
	if !u.cfg.Engine {
		u.learnt = estimate{factor: 1}
		return
	}
	stepWait := time.Duration(waitSteps * u.cfg.PrefillStepMs * float64(time.Millisecond))
	group := u.groupFit.estimate(estimate{factor: 1}, groupDelayWeight, stepWait)
	u.learnt = u.fit.estimate(group, upstreamDelayWeight, stepWait)
}

// serviceTime returns the expected service time of a plain service.
func (u *upstream) serviceTime(now time.Duration, averages *averages) time.Duration {
	ms := u.serviceMs.value(now, averages.serviceTime)
	if u.reported != nil {
		ms = u.reported.usualServiceMs.value(now, averages.usualServiceTime) * u.slowdown
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// excessFailureRate returns by how much the upstream's failure rate exceeds the mean of
// the group.
func (u *upstream) excessFailureRate(now time.Duration, averages *averages) float64 {
	return max(u.failureRate.value(now, averages.meanFailureRate)-averages.meanFailureRate, 0)
}

// cost predicts how long an engine prefills a request if cached tokens of the prompt are
// available and some more are copied.
func (u *upstream) cost(r *Request, cached, copied int) time.Duration {
	available := cached + copied
	uncached := float64(max(r.Prompt-available, 1))
	ms := uncached/u.cfg.PrefillTokensPerMs +
		uncached*(float64(available)+uncached/2)/u.cfg.AttentionPairsPerMs +
		math.Ceil(uncached/float64(u.cfg.ChunkTokens))*u.cfg.PrefillStepMs
	return time.Duration(ms*u.prefillFactor()*float64(time.Millisecond)) + time.Duration(copied)*u.CopyPerToken
}

// backlog returns the predicted time until the upstream has prefilled what it was sent.
func (u *upstream) backlog(now time.Duration) time.Duration {
	return max(u.prefills.endsAt(now, u.learnt.delay)-now, 0)
}

// full reports whether the upstream has no free slot, or no room for kvTokens in its KV
// cache.
func (u *upstream) full(kvTokens int) bool {
	if u.occupied() >= u.Slots {
		return true
	}
	return u.cfg.Engine && u.running > 0 && u.reservedKV+kvTokens > int(u.cfg.MaxKVFraction*float64(u.KVTokens))
}

// utilizationWindow is the window over which the utilization is averaged.
const utilizationWindow = 4 * time.Second

// decodeStep returns the time per output token while nothing is prefilled.
func (u *upstream) decodeStep() time.Duration {
	return time.Duration(u.cfg.DecodeStepMs * u.prefillFactor() * float64(time.Millisecond))
}

// currentDecodeStep returns the current time per output token. During prefill each decode
// step also takes the time of a chunk.
func (u *upstream) currentDecodeStep(prefilling bool) time.Duration {
	decode := u.decodeStep()
	if !prefilling || len(u.prefills.jobs) == 0 {
		return decode
	}
	chunk := float64(u.cfg.ChunkTokens) / u.cfg.PrefillTokensPerMs * u.prefillFactor()
	longest := decode + time.Duration(chunk*float64(time.Millisecond))
	return min(max(u.prefills.jobs[0].cost, decode), longest)
}

// prefillWait returns the time until the upstream starts another prefill: its backlog and
// the pause that its streams need.
func (u *upstream) prefillWait(now time.Duration) time.Duration {
	return u.backlog(now) + u.throttle.pauseLeft
}

// update brings the utilization and the decoded tokens of the streams up to now.
func (u *upstream) update(now time.Duration) {
	if now <= u.updatedAt {
		return
	}
	if now-u.estimatedAt >= estimateInterval {
		u.updateEstimate(now)
	}
	busy := 0.0
	if u.cfg.Engine {
		busyUntil := u.prefills.endsAt(now, u.learnt.delay)
		busy = min(float64(max(busyUntil-u.updatedAt, 0))/float64(now-u.updatedAt), 1)
		u.throttle.advance(now-u.updatedAt, u.currentDecodeStep(busy > 0), busy > 0)
	} else if u.running > 0 {
		busy = 1
	}
	factor := math.Exp(-float64(now-u.updatedAt) / float64(utilizationWindow))
	u.utilization = u.utilization*factor + busy*(1-factor)
	u.updatedAt = now
}

// prefillGrace is added to twice the predicted backlog before the prefill of a request
// counts as overdue. It covers some steps of a slow engine.
const prefillGrace = 200 * time.Millisecond

// assign records that a job is sent to the upstream.
func (u *upstream) assign(j *job, now time.Duration) {
	u.update(now)
	j.upstream, j.state, j.sentAt = u, sent, now
	j.usualCost = time.Duration(float64(j.cost) / u.slowdown)
	u.prefills.add(now, u.learnt.delay, j)
	j.firstByteDueAt = now + u.backlog(now) + u.learnt.delay
	j.prefillDeadline = now + 2*(u.backlog(now)+u.learnt.delay) + prefillGrace
	u.setRunning(now, u.running+1)
	u.reservedKV += j.reservedKV
	if u.cfg.Engine {
		u.cache.insert(j, j.Parts, u.KVTokens-u.reservedKV)
	}
}

// firstByte records the first byte of a job and updates the learnt performance.
func (u *upstream) firstByte(j *job, now time.Duration) {
	u.update(now)
	u.lastResponseAt = now
	if j.state != sent {
		return
	}
	u.updateFit(j, now)
	if u.cfg.Engine {
		u.prefillYield.add(j.chargedTokens, j.cost)
		u.throttle.review(now, u.decodeStep(), u.prefillYield.tokensPerMs())
		u.throttle.addStream(j, j.cost)
	}
	u.finishPrefill(j, now, true)
	j.state = started
}

const (
	// fitDecay averages over about the last 15 answers of an engine, and groupFitDecay over
	// the last 100 of its group.
	fitDecay, groupFitDecay = 0.93, 0.99
	// maxMeasuredRatio and maxMeasuredSlack bound what one slow answer can teach.
	maxMeasuredRatio = 5
	maxMeasuredSlack = 100 * time.Millisecond
)

// updateFit updates the learnt performance with a measured time to first byte.
func (u *upstream) updateFit(j *job, now time.Duration) {
	if !u.cfg.Engine || j.inherited {
		return
	}
	u.groupFit.observeFirstByte(now - j.sentAt)
	measured, delayed, ok := u.prefills.observe(now, u.groupFit.shortest, j)
	if !ok {
		return
	}
	predictedMs := milliseconds(j.usualCost) / u.learnt.factor * u.prefillSlowdown(now, measured, delayed)
	limit := maxMeasuredRatio * predictedMs
	if delayed {
		limit += milliseconds(u.learnt.delay + maxMeasuredSlack)
	}
	measuredMs := min(milliseconds(measured), limit)
	u.fit.add(fitDecay, predictedMs, measuredMs, delayed)
	u.groupFit.add(groupFitDecay, predictedMs, measuredMs, delayed)
	u.updateEstimate(now)
}

// finishPrefill removes a job from the backlog.
func (u *upstream) finishPrefill(j *job, now time.Duration, firstByte bool) {
	if u.prefills.remove(now, u.learnt.delay, j, firstByte) {
		u.cache.prefillDone(j)
	}
}

// finish removes a job from the upstream and records its outcome.
func (u *upstream) finish(j *job, now time.Duration, o Outcome, took time.Duration) {
	u.update(now)
	if j.state == sent {
		u.finishPrefill(j, now, false)
	}
	u.throttle.removeStream(j)
	if !j.slotFreed {
		u.setRunning(now, u.running-1)
	}
	u.reservedKV -= j.reservedKV
	if o == Served || o == Failed || o == Rejected {
		u.lastResponseAt = now
	}
	switch o {
	case Served:
		u.failureRate.add(now, 0)
		u.banDuration = 0
		if took > 0 && !u.cfg.Engine {
			u.serviceMs.add(now, float64(took)/float64(time.Millisecond))
			u.updateUsualServiceTime(now, took)
		}
	case Failed:
		u.failureRate.add(now, 1)
	case Rejected:
		// The upstream has more work than this core has sent, for instance from other
		// homes.
		u.bannedUntil = max(u.bannedUntil, now+50*time.Millisecond)
	case Unreachable:
		u.ban(now)
		u.presumedWarmAt = max(u.presumedWarmAt, u.bannedUntil+u.WarmUpDuration)
	case TimedOut:
		if u.isHung(j, now, took) {
			u.ban(now)
		}
	case Cancelled, NotSent:
	}
}

// ban takes the upstream out of use for a while, with exponential backoff.
func (u *upstream) ban(now time.Duration) {
	u.failureRate.add(now, 1)
	u.banDuration = min(max(2*u.banDuration, u.cfg.BanMin), u.cfg.BanMax)
	u.bannedUntil = max(u.bannedUntil, now+u.banDuration)
}

// hungServiceTimes is the multiple of the mean service time after which a plain service
// counts as hung. One request in a thousand takes longer than 5 times the mean.
const hungServiceTimes = 5

// isHung reports whether an upstream that sent no answer before the deadline should have.
// A caller or route with a short deadline gives up while a healthy upstream is working,
// and some requests are long; an upstream that answered other requests meanwhile is alive.
// With four upstreams, two such requests per second kept one of them banned all the time
// and made a fifth of all answers late.
func (u *upstream) isHung(j *job, now, took time.Duration) bool {
	if u.lastResponseAt > j.sentAt {
		return false
	}
	if u.cfg.Engine {
		return now > j.prefillDeadline
	}
	return took > hungServiceTimes*time.Duration(u.serviceMs.mean(defaultServiceMs)*float64(time.Millisecond))
}
