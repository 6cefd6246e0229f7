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
	// CopyPerToken is how long the upstream takes to copy a cached token from
	// another; 0 if it can't.
	CopyPerToken time.Duration
	// WarmUntil is when the upstream has warmed up, as far as is known.
	WarmUntil time.Duration
	// WarmUpDuration is how long it warms up after a restart, and WarmUpRate the requests per
	// second that this core may send it meanwhile. Without a WarmUpDuration there is no bound.
	WarmUpDuration time.Duration
	WarmUpRate     float64
	// Region is where it runs.
	Region string
}

// upstream is the core's model of one.
type upstream struct {
	Member
	cfg *Config
	// queue are jobs that wait here for it, in no order.
	queue []*job
	// unread are the jobs sent and not started, oldest first.
	unread []*job
	// ahead is the sum of the unread jobs' costs.
	ahead time.Duration
	// headAt is when the upstream began with the oldest unread job.
	headAt  time.Duration
	running int
	memory  int
	cache   *cache
	// speed is measured over predicted time; took and meant are its sums.
	took, meant float64
	// use is the part of the time in which there was unread work, averaged.
	use   float64
	useAt time.Duration
	// failed averages over requests, 1 for one that failed; served over the
	// milliseconds that a plain service took.
	failed, served average
	banned         time.Duration
	ban            time.Duration
	order          int
	// heardAt is when anything last came from it.
	heardAt time.Duration
	pace    pace
	// yield is that of the group.
	yield  *yield
	warmUp warmup.Bucket
	// presumedWarm is when the upstream has warmed up by what it said itself, or if it
	// restarted while it couldn't be reached.
	presumedWarm time.Duration
}

// plainTime is how long a plain service's request is taken to last before any has,
// in milliseconds.
const plainTime = 40

func newUpstream(m Member, cfg *Config, y *yield) *upstream {
	return &upstream{Member: m, cfg: cfg, yield: y, cache: newCache()}
}

// speed corrects the predicted cost: upstreams of one service differ.
func (u *upstream) speed() float64 {
	const prior = 300 // ms of work that count as measured at the data sheet's speed
	return (u.took + prior) / (u.meant + prior)
}

// serviceTime is how long a plain service takes for a request.
func (u *upstream) serviceTime(now time.Duration, usual *usual) time.Duration {
	return time.Duration(u.served.value(now, usual.serviceTime) * float64(time.Millisecond))
}

// failingMore is by how much an upstream fails more of its requests than usual.
func (u *upstream) failingMore(now time.Duration, usual *usual) float64 {
	return max(u.failed.value(now, usual.failing)-usual.failing, 0)
}

// cost predicts how long an engine works on a request to its first byte if it
// has kept tokens of the prompt and copies some more.
func (u *upstream) cost(r *Request, kept, copied int) time.Duration {
	have := kept + copied
	unread := float64(max(r.Prompt-have, 1))
	ms := unread/u.cfg.PrefillTokensPerMs +
		unread*(float64(have)+unread/2)/u.cfg.AttentionPairsPerMs +
		math.Ceil(unread/float64(u.cfg.ChunkTokens))*u.cfg.PrefillStepMs
	return time.Duration(ms*u.speed()*float64(time.Millisecond)) + time.Duration(copied)*u.CopyPerToken
}

// remaining is how long the upstream still works on what it was sent.
func (u *upstream) remaining(now time.Duration) time.Duration {
	if len(u.unread) == 0 {
		return 0
	}
	done := min(now-u.headAt, u.unread[0].cost)
	return max(u.ahead-done, 0)
}

// full reports whether a job has no room at the upstream now.
func (u *upstream) full(memory int) bool {
	if u.running >= u.Slots {
		return true
	}
	return u.cfg.Engine && u.running > 0 && u.memory+memory > int(u.cfg.MaxKVFraction*float64(u.KVTokens))
}

// useWindow is the span over which the use is averaged.
const useWindow = 4 * time.Second

// token is what each token of the streams takes while nothing is read.
func (u *upstream) token() time.Duration {
	return time.Duration(u.cfg.DecodeStepMs * u.speed() * float64(time.Millisecond))
}

// step is what each token takes at present: while prompts are read, a chunk of them.
func (u *upstream) step() time.Duration {
	token := u.token()
	if len(u.unread) == 0 {
		return token
	}
	chunk := float64(u.cfg.ChunkTokens) / u.cfg.PrefillTokensPerMs * u.speed()
	most := token + time.Duration(chunk*float64(time.Millisecond))
	return min(max(u.unread[0].cost, token), most)
}

// busyFor is how long the upstream takes no more to read: what it was sent, and the
// rest that its streams need.
func (u *upstream) busyFor(now time.Duration) time.Duration {
	return u.remaining(now) + u.pace.rest
}

// touch brings the average use and the streams' tokens up to the present.
func (u *upstream) touch(now time.Duration) {
	if now <= u.useAt {
		return
	}
	busy := 0.0
	if len(u.unread) > 0 || (!u.cfg.Engine && u.running > 0) {
		busy = 1
	}
	if u.cfg.Engine {
		u.pace.advance(now-u.useAt, u.step(), len(u.unread) > 0)
	}
	f := math.Exp(-float64(now-u.useAt) / float64(useWindow))
	u.use = u.use*f + busy*(1-f)
	u.useAt = now
}

// overdue is added to twice the predicted time before a request counts as not
// being read: some steps of a slow engine.
const overdue = 200 * time.Millisecond

// take gives the upstream a job.
func (u *upstream) take(j *job, now time.Duration) {
	u.touch(now)
	j.upstream, j.state, j.sentAt = u, sent, now
	if len(u.unread) == 0 {
		u.headAt = now
	}
	u.unread = append(u.unread, j)
	u.ahead += j.cost
	j.readBy = now + 2*u.remaining(now) + overdue
	u.running++
	u.memory += j.memory
	if u.cfg.Engine {
		u.cache.read(j, j.Parts, u.KVTokens-u.memory)
	}
}

// started notes a job's first byte and learns the speed.
func (u *upstream) started(j *job, now time.Duration) {
	u.touch(now)
	u.heardAt = now
	if j.state != sent {
		return
	}
	u.learn(j, now)
	if u.cfg.Engine {
		u.yield.add(j.tokens, j.cost)
		u.pace.review(now, u.token(), u.yield.perMs())
		u.pace.begin(j, j.cost)
	}
	u.read(j, now)
	j.state = started
}

// minLearn is the least predicted time that says something of the speed; below
// it the way over the network and the step under way weigh more.
const minLearn = 30 * time.Millisecond

func (u *upstream) learn(j *job, now time.Duration) {
	if !u.cfg.Engine || len(u.unread) == 0 || u.unread[0] != j || j.cost < minLearn {
		return
	}
	const keep = 0.93 // about the last fifteen requests count
	took := float64(now-u.headAt) / float64(time.Millisecond)
	meant := float64(j.cost) / float64(time.Millisecond) / u.speed()
	took = min(took, 5*meant)
	u.took = u.took*keep + took
	u.meant = u.meant*keep + meant
}

// read takes a job off the unread ones.
func (u *upstream) read(j *job, now time.Duration) {
	i := slices.Index(u.unread, j)
	if i < 0 {
		return
	}
	u.unread = slices.Delete(u.unread, i, i+1)
	u.cache.done(j)
	u.ahead -= j.cost
	if i == 0 {
		u.headAt = now
	}
}

// ended takes a job off the upstream.
func (u *upstream) ended(j *job, now time.Duration, o Outcome, took time.Duration) {
	u.touch(now)
	if j.state == sent {
		u.read(j, now)
	}
	u.pace.end(j)
	u.running--
	u.memory -= j.memory
	if o == Served || o == Failed || o == Rejected {
		u.heardAt = now
	}
	switch o {
	case Served:
		u.failed.add(now, 0)
		u.ban = 0
		if took > 0 && !u.cfg.Engine {
			u.served.add(now, float64(took)/float64(time.Millisecond))
		}
	case Failed:
		u.failed.add(now, 1)
	case Rejected:
		// It has more work than the model knows, for instance of other homes.
		u.banned = max(u.banned, now+50*time.Millisecond)
	case Unreachable:
		u.leaveAlone(now)
		u.presumedWarm = max(u.presumedWarm, u.banned+u.WarmUpDuration)
	case TimedOut:
		if u.hangs(j, now, took) {
			u.leaveAlone(now)
		}
	case Cancelled, NotSent:
	}
}

// leaveAlone keeps work from an upstream for a while, longer each time.
func (u *upstream) leaveAlone(now time.Duration) {
	u.failed.add(now, 1)
	u.ban = min(max(2*u.ban, u.cfg.BanMin), u.cfg.BanMax)
	u.banned = max(u.banned, now+u.ban)
}

// patience is how many usual service times a plain service may take before it
// counts as hung: one request in a thousand takes longer than five.
const patience = 5

// hangs reports whether an upstream that gave no answer until the deadline should
// have. A caller or route with a short deadline gives up while a sound upstream
// works, and some requests are long: one that has answered others meanwhile is
// alive. Measured at four upstreams, two such requests a second kept one of them
// out of use all the time and let a fifth of all answers come late.
func (u *upstream) hangs(j *job, now, took time.Duration) bool {
	if u.heardAt > j.sentAt {
		return false
	}
	if u.cfg.Engine {
		return now > j.readBy
	}
	return took > patience*time.Duration(u.served.mean(plainTime)*float64(time.Millisecond))
}
