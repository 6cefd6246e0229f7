package resumption_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/aspenswitch/aspenswitch/resumption"
)

// Guards against a bound that forgets a deadline while streams of it may be continued, or that is known
// without any deadline.
func TestAgeBoundIsTheLongestDeadlineOfTheLastMinutes(t *testing.T) {
	g := NewWithT(t)
	var b resumption.AgeBound
	g.Expect(b.Longest(0)).To(Equal(resumption.UnknownAge))
	b.Observe(time.Second, 15*time.Second)
	b.Observe(2*time.Second, 4*time.Second)
	g.Expect(b.Longest(2 * time.Second)).To(Equal(15 * time.Second))
	for at := 3 * time.Second; at <= 2*time.Minute; at += time.Second {
		b.Observe(at, 4*time.Second)
		g.Expect(b.Longest(at)).To(Equal(15*time.Second), "after %v", at)
	}
	for at := 2 * time.Minute; at <= 5*time.Minute; at += time.Second {
		b.Observe(at, 4*time.Second)
	}
	g.Expect(b.Longest(5 * time.Minute)).To(Equal(4 * time.Second))
	b.Observe(5*time.Minute, 0)
	g.Expect(b.Longest(5*time.Minute)).To(Equal(resumption.UnknownAge), "a caller without a deadline")
	g.Expect(b.Longest(10*time.Minute)).To(Equal(resumption.UnknownAge), "no attempt for minutes")
}

// Guards against continuing a stream at a version that didn't begin it, at a router that has started
// meanwhile, for callers that continue their streams until their deadlines.
func TestRouterThatHasStartedContinuesNoStreamOfAnotherVersion(t *testing.T) {
	const servesOn, margin = 3 * time.Second, 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(low, high int, name string) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(rt, name)) * time.Millisecond
		}
		var lives []versionLife
		for i := range rapid.IntRange(1, 3).Draw(rt, "versions") {
			from := millis(0, 30_000, "from")
			lives = append(lives, versionLife{fmt.Sprint("v", i%2), from, from + millis(2100, 40_000, "for")})
		}
		present := func(at time.Duration) (list []string) {
			for _, l := range lives {
				if at >= l.from && at < l.to && !slices.Contains(list, l.version) {
					list = append(list, l.version)
				}
			}
			return list
		}
		deadline := millis(1000, 30_000, "deadline")
		h, b := resumption.NewHistory(), &resumption.AgeBound{}
		for now := millis(0, 30_000, "start"); now < 100*time.Second; now += millis(50, 900, "pause") {
			h.Update(now, resumption.Versions{"llm": present(now)})
			h.Confirm(now)
			window := b.Longest(now)
			if window != resumption.UnknownAge {
				window += margin
			}
			version, evidence := h.SoleVersion(now, "llm", now, window)
			b.Observe(now, deadline)
			if evidence != resumption.Sole {
				continue
			}
			for _, l := range lives {
				if l.version != version && l.from < now && l.to+servesOn > now-deadline {
					rt.Fatalf("at %v the sole version is %s, and %+v may have begun a stream of %v", now, version, l, deadline)
				}
			}
		}
	})
}
