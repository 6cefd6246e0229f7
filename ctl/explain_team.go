package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// TimeRange is a part of a log. A zero end is open.
type TimeRange struct{ From, To time.Time }

func (s TimeRange) holds(at time.Time) bool {
	return (s.From.IsZero() || !at.Before(s.From)) && (s.To.IsZero() || at.Before(s.To))
}

// ExplainTeam prints what a team asked for and got in each second, and by whom and why the
// rest was refused, from the "team" lines of routers and the "share" lines of homes.
func ExplainTeam(out io.Writer, team string, span TimeRange, in io.Reader) error {
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	seconds := teamSeconds(team, span, lines)
	if len(seconds) == 0 {
		return Error.New("no line about team %s in this span; lines are written only while a team is refused", team)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "second\tasked\tsent\tbegun\tbegun tokens\tgot in window\tshare\tmost refused\trouter")
	for _, s := range seconds {
		reason := s.refusals.most()
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", s.at.Format(time.TimeOnly), s.asked, s.sent, s.begun, s.begunTokens,
			known(s.got), known(s.share), reason, s.router())
	}
	if err := w.Flush(); err != nil {
		return Error.Wrap(err)
	}
	_, err = fmt.Fprintln(out, sumUp(team, seconds))
	return Error.Wrap(err)
}

// teamSecond is what lines tell of a team in one second.
type teamSecond struct {
	at                 time.Time
	asked, sent, begun int64
	begunTokens        int64
	// got is what the team got of the fleet within the window, by the home that believes
	// most; share is the level there. Zero if no home told.
	got, share int64
	refusals   refusals
	// askedAt is what was asked at each router.
	askedAt map[string]int64
}

// router is the one at which most was asked.
func (s *teamSecond) router() string {
	best := ""
	for name, n := range s.askedAt {
		if best == "" || n > s.askedAt[best] || n == s.askedAt[best] && name < best {
			best = name
		}
	}
	return best
}

// refusals are numbers of requests by reason.
type refusals map[string]int64

// reasons are the fields of a "team" line, with who refused and why.
var reasons = map[string]string{
	"over_share": "home: share used up",
	"no_room":    "home: no engine in time",
	"shed":       "router: share used up, by the home's last word",
	"busy":       "router: behind with its work",
	"full":       "router: holds as many as it can",
}

// most is the reason for which most were refused, with their number.
func (r refusals) most() string {
	best := ""
	for name, n := range r {
		if n > 0 && (best == "" || n > r[best] || n == r[best] && name < best) {
			best = name
		}
	}
	if best == "" {
		return "-"
	}
	return fmt.Sprintf("%d %s", r[best], reasons[best])
}

// teamSeconds sums a team's lines up by second.
func teamSeconds(team string, span TimeRange, lines []logLine) []*teamSecond {
	byTime := map[int64]*teamSecond{}
	for i := range lines {
		l := &lines[i]
		event := l.text("event")
		if l.text("team") != team || event != "team" && event != "share" || !span.holds(l.at) {
			continue
		}
		// A line of a second is written at its end.
		at := l.at.Add(-time.Second / 2).Truncate(time.Second)
		s := byTime[at.Unix()]
		if s == nil {
			s = &teamSecond{at: at, refusals: refusals{}, askedAt: map[string]int64{}}
			byTime[at.Unix()] = s
		}
		if event == "team" {
			s.addRouter(l)
			continue
		}
		s.addHome(l)
	}
	var seconds []*teamSecond
	for _, s := range byTime {
		seconds = append(seconds, s)
	}
	slices.SortFunc(seconds, func(a, b *teamSecond) int { return cmp.Compare(a.at.Unix(), b.at.Unix()) })
	return seconds
}

func (s *teamSecond) addRouter(l *logLine) {
	s.asked += l.number("asked")
	s.sent += l.number("sent")
	s.begun += l.number("begun")
	s.begunTokens += l.number("begun_tokens")
	for name := range reasons {
		s.refusals[name] += l.number(name)
	}
	s.askedAt[l.text("process")] += l.number("asked")
}

func (s *teamSecond) addHome(l *logLine) {
	if got := l.number("served_tokens") + l.number("elsewhere_tokens"); got > s.got {
		s.got, s.share = got, l.number("share_tokens")
	}
}

// number returns a field as a whole number, 0 if it is none.
func (l *logLine) number(name string) int64 {
	number, isNumber := l.fields[name].(json.Number)
	if !isNumber {
		return 0
	}
	n, err := number.Int64()
	if err != nil {
		return 0
	}
	return n
}

func known(n int64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

// sumUp tells the whole span in a sentence.
func sumUp(team string, seconds []*teamSecond) string {
	all := refusals{}
	var asked, sent, begun, within int64
	for _, s := range seconds {
		asked += s.asked
		sent += s.sent
		begun += s.begunTokens
		if s.share > 0 && s.got < s.share && s.refusals["shed"]+s.refusals["busy"]+s.refusals["full"] > 0 {
			within++
		}
		for name, n := range s.refusals {
			all[name] += n
		}
	}
	var by []string
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		for name := range all {
			if !yield(name) {
				return
			}
		}
	}) {
		if all[name] > 0 {
			by = append(by, fmt.Sprintf("%d %s", all[name], reasons[name]))
		}
	}
	return fmt.Sprintf("%s: %d asked, %d sent, %d tokens begun; refused: %s; in %d of %d seconds a router refused by itself while the team was below its share",
		team, asked, sent, begun, cmp.Or(strings.Join(by, ", "), "none"), within, len(seconds))
}
