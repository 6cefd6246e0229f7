package dispatch

import (
	"math"
	"slices"
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
	Region         string
}

// upstream is the core's model of an upstream.
type upstream struct {
	Member
	cfg *Config
	// queue holds the jobs that wait here for the upstream, unordered.
	queue []*job
	// awaitingFirstByte holds the jobs sent and not started, oldest first. For an engine
	// these are the prompts that are not prefilled yet.
	awaitingFirstByte []*job
	// backlogCost is the sum of their costs.
	backlogCost time.Duration
	// headStartedAt is when the upstream began with the oldest of them.
	headStartedAt time.Duration
	running       int
	reservedKV    int
	cache         *cache
	// measuredMs and predictedMs are decaying sums of prefill times; their ratio is the
	// cost factor.
	measuredMs, predictedMs float64
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
}

// defaultServiceMs is the assumed service time of a plain service, in milliseconds, before
// any was measured.
const defaultServiceMs = 40

func newUpstream(m Member, cfg *Config, yield *prefillYield) *upstream {
	return &upstream{Member: m, cfg: cfg, prefillYield: yield, cache: newCache()}
}

// costFactor returns the ratio of measured to predicted cost. Upstreams of one service
// differ.
func (u *upstream) costFactor() float64 {
	const priorWorkMs = 300 // initial weight of the data sheet's rate, in ms of prefill
	return (u.measuredMs + priorWorkMs) / (u.predictedMs + priorWorkMs)
}

// serviceTime returns the expected service time of a plain service.
func (u *upstream) serviceTime(now time.Duration, averages *averages) time.Duration {
	return time.Duration(u.serviceMs.value(now, averages.serviceTime) * float64(time.Millisecond))
}

// excessFailureRate returns by how much the upstream's failure rate exceeds the mean of
// the group.
func (u *upstream) excessFailureRate(now time.Duration, averages *averages) float64 {
	return max(u.failureRate.value(now, averages.meanFailureRate)-averages.meanFailureRate, 0)
}

// cost predicts how long an engine works on a request up to its first byte if cached
// tokens of the prompt are available and some more are copied.
func (u *upstream) cost(r *Request, cached, copied int) time.Duration {
	available := cached + copied
	uncached := float64(max(r.Prompt-available, 1))
	ms := uncached/u.cfg.PrefillTokensPerMs +
		uncached*(float64(available)+uncached/2)/u.cfg.AttentionPairsPerMs +
		math.Ceil(uncached/float64(u.cfg.ChunkTokens))*u.cfg.PrefillStepMs
	return time.Duration(ms*u.costFactor()*float64(time.Millisecond)) + time.Duration(copied)*u.CopyPerToken
}

// backlog returns the predicted time until the upstream has worked off what it was sent.
func (u *upstream) backlog(now time.Duration) time.Duration {
	if len(u.awaitingFirstByte) == 0 {
		return 0
	}
	done := min(now-u.headStartedAt, u.awaitingFirstByte[0].cost)
	return max(u.backlogCost-done, 0)
}

// full reports whether the upstream has no free slot, or no room for kvTokens in its KV
// cache.
func (u *upstream) full(kvTokens int) bool {
	if u.running >= u.Slots {
		return true
	}
	return u.cfg.Engine && u.running > 0 && u.reservedKV+kvTokens > int(u.cfg.MaxKVFraction*float64(u.KVTokens))
}

// utilizationWindow is the window over which the utilization is averaged.
const utilizationWindow = 4 * time.Second

// decodeStep returns the time per output token while nothing is prefilled.
func (u *upstream) decodeStep() time.Duration {
	return time.Duration(u.cfg.DecodeStepMs * u.costFactor() * float64(time.Millisecond))
}

// currentDecodeStep returns the current time per output token. During prefill each decode
// step also takes the time of a chunk.
func (u *upstream) currentDecodeStep() time.Duration {
	decode := u.decodeStep()
	if len(u.awaitingFirstByte) == 0 {
		return decode
	}
	chunk := float64(u.cfg.ChunkTokens) / u.cfg.PrefillTokensPerMs * u.costFactor()
	longest := decode + time.Duration(chunk*float64(time.Millisecond))
	return min(max(u.awaitingFirstByte[0].cost, decode), longest)
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
	busy := 0.0
	if len(u.awaitingFirstByte) > 0 || (!u.cfg.Engine && u.running > 0) {
		busy = 1
	}
	if u.cfg.Engine {
		u.throttle.advance(now-u.updatedAt, u.currentDecodeStep(), len(u.awaitingFirstByte) > 0)
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
	if len(u.awaitingFirstByte) == 0 {
		u.headStartedAt = now
	}
	u.awaitingFirstByte = append(u.awaitingFirstByte, j)
	u.backlogCost += j.cost
	j.prefillDeadline = now + 2*u.backlog(now) + prefillGrace
	u.running++
	u.reservedKV += j.reservedKV
	if u.cfg.Engine {
		u.cache.insert(j, j.Parts, u.KVTokens-u.reservedKV)
	}
}

// firstByte records the first byte of a job and updates the cost factor.
func (u *upstream) firstByte(j *job, now time.Duration) {
	u.update(now)
	u.lastResponseAt = now
	if j.state != sent {
		return
	}
	u.updateCostFactor(j, now)
	if u.cfg.Engine {
		u.prefillYield.add(j.chargedTokens, j.cost)
		u.throttle.review(now, u.decodeStep(), u.prefillYield.tokensPerMs())
		u.throttle.addStream(j, j.cost)
	}
	u.finishPrefill(j, now)
	j.state = started
}

// minMeasuredCost is the minimum predicted cost of a prefill that updates the cost factor.
// Below it, network latency and the step in progress dominate.
const minMeasuredCost = 30 * time.Millisecond

func (u *upstream) updateCostFactor(j *job, now time.Duration) {
	if !u.cfg.Engine || len(u.awaitingFirstByte) == 0 || u.awaitingFirstByte[0] != j || j.cost < minMeasuredCost {
		return
	}
	const decay = 0.93 // averages over about the last 15 requests
	measured := float64(now-u.headStartedAt) / float64(time.Millisecond)
	predicted := float64(j.cost) / float64(time.Millisecond) / u.costFactor()
	measured = min(measured, 5*predicted)
	u.measuredMs = u.measuredMs*decay + measured
	u.predictedMs = u.predictedMs*decay + predicted
}

// finishPrefill removes a job from the backlog.
func (u *upstream) finishPrefill(j *job, now time.Duration) {
	i := slices.Index(u.awaitingFirstByte, j)
	if i < 0 {
		return
	}
	u.awaitingFirstByte = slices.Delete(u.awaitingFirstByte, i, i+1)
	u.cache.prefillDone(j)
	u.backlogCost -= j.cost
	if i == 0 {
		u.headStartedAt = now
	}
}

// finish removes a job from the upstream and records its outcome.
func (u *upstream) finish(j *job, now time.Duration, o Outcome, took time.Duration) {
	u.update(now)
	if j.state == sent {
		u.finishPrefill(j, now)
	}
	u.throttle.removeStream(j)
	u.running--
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
