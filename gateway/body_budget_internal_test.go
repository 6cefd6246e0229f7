package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
)

// teamBytes is what a team holds. The order in which teams take their room matters.
type teamBytes struct {
	team  string
	bytes int64
}

// Guards against a budget that one team can use up, or that is exceeded.
func TestBodyBudget(t *testing.T) {
	const requests, unit = 100, RequestBytes
	for name, c := range map[string]struct {
		held   []teamBytes
		active int64
		team   string
		ask    int64
		want   bool
	}{
		"first":                          {nil, 1, "a", unit, true},
		"half of all":                    {nil, 0, "a", 50 * unit, true},
		"more than half of all":          {nil, 0, "a", 50*unit + 1, false},
		"half, a byte more":              {[]teamBytes{{"a", 50 * unit}}, 0, "a", 1, false},
		"another beside half":            {[]teamBytes{{"a", 50 * unit}}, 0, "b", 25 * unit, true},
		"another, too much beside half":  {[]teamBytes{{"a", 50 * unit}}, 0, "b", 25*unit + 1, false},
		"a third team":                   {[]teamBytes{{"a", 40 * unit}, {"b", 30 * unit}}, 0, "c", 15 * unit, true},
		"pending requests count":         {nil, 60, "a", 20 * unit, true},
		"pending requests count, beyond": {nil, 60, "a", 20*unit + 1, false},
		"no room":                        {nil, 100, "a", 1, false},
		"requests without a team":        {[]teamBytes{{"", 50 * unit}}, 0, "", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBodyBudget(requests)
			for _, h := range c.held {
				g.Expect(b.take(h.team, h.bytes, 0)).To(BeTrue())
			}
			g.Expect(b.take(c.team, c.ask, c.active)).To(Equal(c.want))
			if c.want {
				b.give(c.team, c.ask)
			}
			for _, h := range c.held {
				b.give(h.team, h.bytes)
			}
			g.Expect(b.held).To(BeZero())
			g.Expect(b.byTeam).To(BeEmpty())
			g.Expect(b.full(requests - 1)).To(BeFalse())
			g.Expect(b.full(requests)).To(BeTrue())
		})
	}
}

// Guards against bodies that are cut, changed, over the limit, or not given back.
func TestHeldBody(t *testing.T) {
	const limit = 1 << 20
	for _, n := range []int64{0, 1, IncludedBodyBytes - 1, IncludedBodyBytes, IncludedBodyBytes + 1, 110_000, limit - 1, limit, limit + 1, 3 * limit} {
		for _, announced := range []bool{true, false} {
			for _, oneByOne := range []bool{true, false} {
				g := NewWithT(t)
				b := newBodyBudget(1000)
				h := heldBody{budget: b, team: "a", requests: func() int64 { return 1 }}
				sent := bytes.Repeat([]byte("abcdefg"), int(n)/7+1)[:n]
				var src io.Reader = bytes.NewReader(sent)
				if oneByOne {
					src = iotest.OneByteReader(src)
				}
				size := int64(-1)
				if announced {
					size = n
				}
				err := h.read(src, size, limit, anyPace)
				if n > limit {
					g.Expect(err).To(MatchError(errBodyTooLarge))
				} else {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(bytes.Equal(h.bytes, sent)).To(BeTrue())
				}
				g.Expect(b.held).To(Equal(charge(int64(cap(h.bytes)))))
				h.release()
				h.release()
				g.Expect(b.held).To(BeZero())
			}
		}
	}
}

// Guards against a body that takes room before it arrives, and against a failed read that keeps its room.
func TestAnnouncedBodyTakesNoRoom(t *testing.T) {
	g := NewWithT(t)
	b := newBodyBudget(1000)
	h := heldBody{budget: b, team: "a", requests: func() int64 { return 1 }}
	lost := errors.New("lost")
	g.Expect(h.read(iotest.ErrReader(lost), 4<<20, 4<<20, anyPace)).To(MatchError(lost))
	g.Expect(b.held).To(BeZero())
	g.Expect(cap(h.bytes)).To(BeNumerically("<=", IncludedBodyBytes))

	full := newBodyBudget(2)
	h = heldBody{budget: full, team: "a", requests: func() int64 { return 1 }}
	g.Expect(h.read(bytes.NewReader(make([]byte, 1<<20)), 1<<20, 4<<20, anyPace)).To(MatchError(errNoRoom))
	h.release()
	g.Expect(full.held).To(BeZero())
}

// anyPace lets a body take any time.
func anyPace(int64) error { return nil }

func TestBodyPace(t *testing.T) {
	start := time.Now()
	pace := bodyPace{start: start, grace: 3 * time.Second, end: start.Add(10 * time.Second)}
	for _, c := range []struct {
		received int64
		want     time.Duration
	}{
		{0, 3 * time.Second},
		{minBodyRate / 2, 3500 * time.Millisecond},
		{4 * minBodyRate, 7 * time.Second},
		{7 * minBodyRate, 10 * time.Second},
		{1 << 40, 10 * time.Second},
	} {
		NewWithT(t).Expect(pace.deadline(c.received).Sub(start)).To(Equal(c.want), "%d bytes", c.received)
	}
}
