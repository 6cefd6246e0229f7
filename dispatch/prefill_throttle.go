package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// pace leaves an engine time to end the answers that it has begun.
//
// While an engine reads prompts, each of its streams gets a token only with each chunk, which
// takes many times longer than a step without reading. An engine that is kept full of prompts
// for long would miss the deadlines of long answers after having worked on them all the while.
// So each engine rests from reading for the part of its time that its streams need, if what
// they are worth is more than what it could read meanwhile.
type pace struct {
	// given is how many tokens each stream has been given since the engine is known.
	given float64
	// rest is the time without reading that is still due.
	rest time.Duration
	// duty is the part of the time to rest, as of dutyAt.
	duty   float64
	dutyAt time.Duration
	// streams are the answers that have begun.
	streams map[*job]struct{}
}

const (
	// dutyEvery is how often the duty is reckoned: a fortieth of the shortest time in
	// which an answer may end.
	dutyEvery = 25 * time.Millisecond
	// mostDuty is the part of the time from which on an answer counts as lost: resting
	// that long keeps more callers waiting than it helps.
	mostDuty = 0.5
	// leastLeft is the part of its announced length that an answer is taken to go on
	// for once it has reached it: callers' hints are right at the median only.
	leastLeft = 0.15
	// readingWeight weighs what could be read against answers that would be cut. Under
	// saturation half of what is read last is above its team's share, and its callers
	// can come back; of a cut answer nothing is left. Worth of whole days at 1, 0.5 and
	// 0.25: 0.659, 0.670, 0.668 (long answers dear) and 0.790, 0.801, 0.805 (cheap).
	readingWeight = 0.5
)

// advance brings the streams' tokens up to the present. step is the time that each
// token took meanwhile.
func (p *pace) advance(passed, step time.Duration, reading bool) {
	p.given += float64(passed) / float64(step)
	if !reading {
		p.rest = max(p.rest-passed, 0)
	}
}

// begin notes that an answer has begun, after so much reading.
func (p *pace) begin(j *job, read time.Duration) {
	if p.streams == nil {
		p.streams = map[*job]struct{}{}
	}
	p.streams[j] = struct{}{}
	j.givenAt = p.given
	p.rest += time.Duration(float64(read) * p.duty / (1 - p.duty))
}

func (p *pace) end(j *job) { delete(p.streams, j) }

// need is an answer that ends in time only if the engine rests for a part of it.
type need struct {
	duty float64
	// worth is what is lost without, in tokens a ms of the answer's time.
	worth float64
}

// review reckons the duty anew. token is what a token takes without reading, yield what
// the engine reads in a millisecond.
func (p *pace) review(now, token time.Duration, yield float64) {
	if now-p.dutyAt < dutyEvery {
		return
	}
	p.dutyAt, p.duty = now, 0
	needs := p.needs(now, token)
	saved, best := 0.0, 0.0
	for _, n := range needs {
		saved += n.worth
		if gain := saved - readingWeight*yield*n.duty; gain > best {
			best, p.duty = gain, n.duty
		}
	}
}

// needs returns what the streams need, the least first.
func (p *pace) needs(now, token time.Duration) []need {
	all := make([]need, 0, len(p.streams))
	for j := range p.streams {
		left := j.deadlineAt - now
		if left <= 0 {
			continue
		}
		length := float64(j.Output)
		tokens := max(length-(p.given-j.givenAt), leastLeft*length)
		duty := tokens * float64(token) / float64(left)
		if duty <= mostDuty {
			all = append(all, need{duty: duty, worth: j.tokens / inMillis(left)})
		}
	}
	slices.SortFunc(all, func(a, b need) int {
		return cmp.Or(cmp.Compare(a.duty, b.duty), cmp.Compare(a.worth, b.worth))
	})
	return all
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
