package limits

import (
	"math"
	"time"
)

// ThrottleConfig tunes a Throttle.
type ThrottleConfig struct {
	// Window is the span over which decisions are remembered. What is let through can
	// double in one window, so a longer one holds a team back after its share has
	// come back (with a second, a team at a quarter of its share for six seconds);
	// a shorter one asks in vain more often.
	Window time.Duration
	// Ratio is how many refusals may come with each request that was let through.
	// One asks for twice what a team gets: what it may get more shows within a
	// window, and a flood of ten times its share costs a fifth of its questions.
	Ratio float64
	// Free is how many refusals in a window are no reason to hold back.
	Free float64
	// MostTeams bounds the memory, at some 60 bytes a team.
	MostTeams int
}

// DefaultThrottleConfig answers a flood of 2,000 requests a second of one team at a
// VM with 0.19 of a core: asking for each took all of it.
func DefaultThrottleConfig() ThrottleConfig {
	return ThrottleConfig{Window: 300 * time.Millisecond, Ratio: 1, Free: 5, MostTeams: 4096}
}

// Throttle keeps a router from asking for what will be refused. It refuses a team's
// requests by itself as far as the team's refusals outnumber what it got (adaptive
// throttling; Beyer and others, Site Reliability Engineering, chapter 21). It
// isn't safe for concurrent use.
type Throttle struct {
	cfg   ThrottleConfig
	teams map[string]*teamLoad
	// arrived is what all teams asked for.
	arrived decaying
}

// teamLoad is a team's recent past at one router.
type teamLoad struct {
	arrived, sent, refused decaying
	// after is when the last refusal told callers to come back.
	after time.Duration
	// decidedAt is when a home last decided on a request of the team.
	decidedAt time.Duration
}

// decaying is a count that loses its weight with time.
type decaying struct {
	n  float64
	at time.Duration
}

func (d *decaying) value(now, window time.Duration) float64 {
	if now > d.at {
		d.n *= math.Exp(-float64(now-d.at) / float64(window))
		d.at = now
	}
	return d.n
}

func (d *decaying) add(now, window time.Duration) { d.n = d.value(now, window) + 1 }

// NewThrottle returns a throttle that knows nothing.
func NewThrottle(cfg ThrottleConfig) *Throttle {
	return &Throttle{cfg: cfg, teams: map[string]*teamLoad{}}
}

func (t *Throttle) team(name string) *teamLoad {
	l := t.teams[name]
	if l == nil {
		if len(t.teams) >= t.cfg.MostTeams {
			clear(t.teams)
		}
		l = &teamLoad{}
		t.teams[name] = l
	}
	return l
}

// Arrived notes a team's request. It reports whether the request may be asked for;
// if not, the caller is told what the last refused one was.
func (t *Throttle) Arrived(now time.Duration, team string) (ok bool, after time.Duration) {
	l := t.team(team)
	l.arrived.add(now, t.cfg.Window)
	t.arrived.add(now, t.cfg.Window)
	most := t.cfg.Ratio*l.sent.value(now, t.cfg.Window) + t.cfg.Free
	return l.refused.value(now, t.cfg.Window) <= most, l.after
}

// Sent notes that a team's request was let through.
func (t *Throttle) Sent(now time.Duration, team string) {
	l := t.team(team)
	l.sent.add(now, t.cfg.Window)
	l.decidedAt = now
}

// Refused notes that a team's request was refused as above its share.
func (t *Throttle) Refused(now time.Duration, team string, after time.Duration) {
	l := t.team(team)
	l.refused.add(now, t.cfg.Window)
	l.after = after
	l.decidedAt = now
}

// Age is how long ago a home last decided on a request of the team.
func (t *Throttle) Age(now time.Duration, team string) time.Duration {
	return now - t.team(team).decidedAt
}

// recentRefusal is the weight at which a refusal counts as recent: within a window.
const recentRefusal = 1 / math.E

// RefusedLately reports whether a team was refused as above its share within the
// window, and when callers were told to come back.
func (t *Throttle) RefusedLately(now time.Duration, team string) (bool, time.Duration) {
	l := t.team(team)
	return l.refused.value(now, t.cfg.Window) >= recentRefusal, l.after
}

// heavyPart is the part of a router's requests that makes a team heavy. A router
// of a fleet serves dozens of teams; one that asks for a third of all is what
// holds the others up.
const heavyPart = 1.0 / 3

// Heavy reports whether a team asks for much of what reaches this router.
func (t *Throttle) Heavy(now time.Duration, team string) bool {
	return t.team(team).arrived.value(now, t.cfg.Window) >= heavyPart*t.arrived.value(now, t.cfg.Window)
}
