package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// prefillThrottle pauses prefill so that an engine can finish the streams it has started.
//
// While an engine prefills, each of its streams gets one token per chunk, which takes many
// times longer than a step without prefill. An engine that is kept full of prompts would
// work on long answers all the while and then miss their deadlines. Therefore each engine
// pauses prefill for the fraction of time that its streams need, if they are worth more
// than what it could prefill meanwhile.
type prefillThrottle struct {
	// decodedTokens is the number of tokens that a stream running since the upstream was
	// added would have got.
	decodedTokens float64
	// pauseLeft is the time without prefill that is still due.
	pauseLeft time.Duration
	// pauseFraction is the fraction of time to pause, as of reviewedAt.
	pauseFraction float64
	reviewedAt    time.Duration
	// streams are the answers that have started.
	streams map[*job]struct{}
}

const (
	// pauseReviewInterval is the time between updates of pauseFraction: a fortieth of the
	// shortest time in which an answer may end.
	pauseReviewInterval = 25 * time.Millisecond
	// maxPauseFraction is the fraction above which an answer counts as lost. Pausing that
	// long delays more callers than it helps.
	maxPauseFraction = 0.5
	// minRemainingFraction is the assumed remaining part of an answer, as a fraction of
	// its announced length, once it has reached that length. Callers' length hints are
	// right only at the median.
	minRemainingFraction = 0.15
	// prefillWeight weighs the value of prefill against that of answers that would be cut
	// off. Under saturation half of the marginal prefill belongs to teams above their
	// share, whose callers can retry; a cut answer is lost entirely. The total value of
	// the answers over whole simulated days, at weights of 1, 0.5 and 0.25, was 0.659,
	// 0.670 and 0.668 with long answers at a high price, and 0.790, 0.801 and 0.805 at a
	// low price.
	prefillWeight = 0.5
)

// advance brings decodedTokens and pauseLeft up to now. decodeStep is the time per output
// token during the elapsed time.
func (p *prefillThrottle) advance(elapsed, decodeStep time.Duration, prefilling bool) {
	p.decodedTokens += float64(elapsed) / float64(decodeStep)
	if !prefilling {
		p.pauseLeft = max(p.pauseLeft-elapsed, 0)
	}
}

// addStream records that an answer has started after a prefill of the given length.
func (p *prefillThrottle) addStream(j *job, prefill time.Duration) {
	if p.streams == nil {
		p.streams = map[*job]struct{}{}
	}
	p.streams[j] = struct{}{}
	j.decodedAtStart = p.decodedTokens
	p.pauseLeft += time.Duration(float64(prefill) * p.pauseFraction / (1 - p.pauseFraction))
}

func (p *prefillThrottle) removeStream(j *job) { delete(p.streams, j) }

// pauseNeed is the fraction of time an engine must pause for an answer to end in time.
type pauseNeed struct {
	pauseFraction float64
	// value is what is lost without the pause, in tokens per ms of the answer's remaining
	// time.
	value float64
}

// review updates pauseFraction. decodeStep is the time per output token without prefill,
// and tokensPerMs the yield of prefill.
func (p *prefillThrottle) review(now, decodeStep time.Duration, tokensPerMs float64) {
	if now-p.reviewedAt < pauseReviewInterval {
		return
	}
	p.reviewedAt, p.pauseFraction = now, 0
	needs := p.pauseNeeds(now, decodeStep)
	saved, best := 0.0, 0.0
	for _, n := range needs {
		saved += n.value
		if gain := saved - prefillWeight*tokensPerMs*n.pauseFraction; gain > best {
			best, p.pauseFraction = gain, n.pauseFraction
		}
	}
}

// pauseNeeds returns the needs of the streams in ascending order.
func (p *prefillThrottle) pauseNeeds(now, decodeStep time.Duration) []pauseNeed {
	all := make([]pauseNeed, 0, len(p.streams))
	for j := range p.streams {
		left := j.deadlineAt - now
		if left <= 0 {
			continue
		}
		length := float64(j.Output)
		tokens := max(length-(p.decodedTokens-j.decodedAtStart), minRemainingFraction*length)
		pauseFraction := tokens * float64(decodeStep) / float64(left)
		if pauseFraction <= maxPauseFraction {
			all = append(all, pauseNeed{pauseFraction: pauseFraction, value: j.chargedTokens / milliseconds(left)})
		}
	}
	slices.SortFunc(all, func(a, b pauseNeed) int {
		return cmp.Or(cmp.Compare(a.pauseFraction, b.pauseFraction), cmp.Compare(a.value, b.value))
	})
	return all
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
