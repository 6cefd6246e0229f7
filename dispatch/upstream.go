package dispatch

import (
	"math"
	"slices"
	"time"
)

// Member describes an upstream of the group.
type Member struct {
	ID       string
	Slots    int
	KVTokens int
	// CopyPerToken is how long the upstream takes to copy a cached token from
	// another; 0 if it can't.
	CopyPerToken time.Duration
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
	// failing is the part of the requests that failed, averaged.
	failing     float64
	banned      time.Duration
	ban         time.Duration
	serviceTime time.Duration
	order       int
}

// plainTime is a plain service's first guess of the time that a request takes.
const plainTime = 40 * time.Millisecond

func newUpstream(m Member, cfg *Config) *upstream {
	return &upstream{Member: m, cfg: cfg, cache: newCache(), serviceTime: plainTime}
}

// speed corrects the predicted cost: upstreams of one service differ.
func (u *upstream) speed() float64 {
	const prior = 300 // ms of work that count as measured at the data sheet's speed
	return (u.took + prior) / (u.meant + prior)
}

// cost predicts how long the upstream works on a request to its first byte if it
// has kept tokens of the prompt and copies some more.
func (u *upstream) cost(r *Request, kept, copied int) time.Duration {
	if !u.cfg.Engine {
		return u.serviceTime
	}
	have := kept + copied
	unread := float64(max(r.Prompt-have, 1))
	ms := unread/u.cfg.TokensPerMs +
		unread*(float64(have)+unread/2)/u.cfg.PairsPerMs +
		math.Ceil(unread/float64(u.cfg.ChunkTokens))*u.cfg.StepMs
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
	return u.cfg.Engine && u.running > 0 && u.memory+memory > int(u.cfg.KVUse*float64(u.KVTokens))
}

// useWindow is the span over which the use is averaged.
const useWindow = 4 * time.Second

// touch brings the average use up to the present.
func (u *upstream) touch(now time.Duration) {
	if now <= u.useAt {
		return
	}
	busy := 0.0
	if len(u.unread) > 0 || (!u.cfg.Engine && u.running > 0) {
		busy = 1
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
	j.upstream, j.state = u, sent
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
	if j.state != sent {
		return
	}
	u.learn(j, now)
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
	u.running--
	u.memory -= j.memory
	switch o {
	case Served:
		u.failing *= 0.9
		u.ban = 0
		if !u.cfg.Engine && took > 0 {
			u.serviceTime += (took - u.serviceTime) / 8
		}
	case Failed:
		u.failing = u.failing*0.9 + 0.1
	case Rejected:
		// It has more work than the model knows, for instance of other homes.
		u.banned = max(u.banned, now+50*time.Millisecond)
	case Unreachable:
		u.failing = u.failing*0.9 + 0.1
		u.ban = min(max(2*u.ban, u.cfg.BanMin), u.cfg.BanMax)
		u.banned = max(u.banned, now+u.ban)
	case Cancelled:
	}
}
