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

// TimeRange selects log lines from From, inclusive, to To, exclusive. A zero time
// leaves that end open.
type TimeRange struct{ From, To time.Time }

func (s TimeRange) contains(at time.Time) bool {
	return (s.From.IsZero() || !at.Before(s.From)) && (s.To.IsZero() || at.Before(s.To))
}

// ExplainTeam prints a team's requests and usage for each second, and by which component
// and why its other requests were refused. It reads the "team" lines of routers and the
// "share" lines of homes, and prints the "entry" lines of the routers that received its requests.
func ExplainTeam(out io.Writer, team string, timeRange TimeRange, in io.Reader) error {
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	seconds := teamSeconds(team, timeRange, lines)
	if len(seconds) == 0 {
		return Error.New("no line about team %s in this time range; lines are logged only while requests of the team are refused", team)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "second\tasked\tsent\tbegun\tbegun tokens\tserved in window\tshare\tmain refusal\trouter")
	for _, s := range seconds {
		reason := s.refusals.mostFrequent()
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", s.at.Format(time.TimeOnly), s.asked, s.sent, s.begun, s.begunTokens,
			formatCount(s.served), formatCount(s.share), reason, s.busiestRouter())
	}
	if err := w.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if _, err = fmt.Fprintln(out, summarize(team, seconds)); err != nil {
		return Error.Wrap(err)
	}
	return printEntryLines(out, seconds, timeRange, lines)
}

// printEntryLines prints when the routers that received the team's requests left the load balancer
// because of their load, might not leave, or returned.
func printEntryLines(out io.Writer, seconds []*teamSecond, timeRange TimeRange, lines []logLine) error {
	routers := map[string]bool{}
	for _, s := range seconds {
		for name := range s.askedByRouter {
			routers[name] = true
		}
	}
	for i := range lines {
		l := &lines[i]
		if l.field("event") != "entry" || !routers[l.field("process")] || !timeRange.contains(l.at) {
			continue
		}
		if _, err := fmt.Fprintln(out, l.String()); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// teamSecond aggregates the lines about a team in one second.
type teamSecond struct {
	at                 time.Time
	asked, sent, begun int64
	begunTokens        int64
	// served is the number of tokens that the fleet served to the team within the share
	// window, as logged by the home with the highest number; share is the team's fair
	// share in tokens at that home. Both are zero if no home logged a line.
	served, share int64
	refusals      refusals
	// askedByRouter is the number of requests received by each router.
	askedByRouter map[string]int64
}

// busiestRouter returns the router that received most requests.
func (s *teamSecond) busiestRouter() string {
	best := ""
	for name, n := range s.askedByRouter {
		if best == "" || n > s.askedByRouter[best] || n == s.askedByRouter[best] && name < best {
			best = name
		}
	}
	return best
}

// refusals counts refused requests by the field names in refusalReasons.
type refusals map[string]int64

// refusalReasons maps the fields of a "team" line to the component that refused and why.
var refusalReasons = map[string]string{
	"over_share": "home: share used up",
	"no_room":    "home: no upstream available in time",
	"shed":       "router: share used up, per the home's last report",
	"busy":       "router: processing delayed",
	"full":       "router: request limit reached",
}

// mostFrequent returns the most frequent reason with its count, or "-" if there is none.
func (r refusals) mostFrequent() string {
	best := ""
	for name, n := range r {
		if n > 0 && (best == "" || n > r[best] || n == r[best] && name < best) {
			best = name
		}
	}
	if best == "" {
		return "-"
	}
	return fmt.Sprintf("%d %s", r[best], refusalReasons[best])
}

// teamSeconds aggregates a team's lines by second.
func teamSeconds(team string, timeRange TimeRange, lines []logLine) []*teamSecond {
	byTime := map[int64]*teamSecond{}
	for i := range lines {
		l := &lines[i]
		event := l.field("event")
		if l.field("team") != team || event != "team" && event != "share" || !timeRange.contains(l.at) {
			continue
		}
		// A line about a second is logged at its end.
		at := l.at.Add(-time.Second / 2).Truncate(time.Second)
		s := byTime[at.Unix()]
		if s == nil {
			s = &teamSecond{at: at, refusals: refusals{}, askedByRouter: map[string]int64{}}
			byTime[at.Unix()] = s
		}
		if event == "team" {
			s.addTeamLine(l)
			continue
		}
		s.addShareLine(l)
	}
	var seconds []*teamSecond
	for _, s := range byTime {
		seconds = append(seconds, s)
	}
	slices.SortFunc(seconds, func(a, b *teamSecond) int { return cmp.Compare(a.at.Unix(), b.at.Unix()) })
	return seconds
}

func (s *teamSecond) addTeamLine(l *logLine) {
	s.asked += l.number("asked")
	s.sent += l.number("sent")
	s.begun += l.number("begun")
	s.begunTokens += l.number("begun_tokens")
	for name := range refusalReasons {
		s.refusals[name] += l.number(name)
	}
	s.askedByRouter[l.field("process")] += l.number("asked")
}

func (s *teamSecond) addShareLine(l *logLine) {
	if served := l.number("served_tokens") + l.number("elsewhere_tokens"); served > s.served {
		s.served, s.share = served, l.number("share_tokens")
	}
}

// number returns the value of a field as an integer, or 0 if it is missing or not one.
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

func formatCount(n int64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

// summarize returns the totals of all seconds as one sentence.
func summarize(team string, seconds []*teamSecond) string {
	all := refusals{}
	var asked, sent, begun, refusedBelowShare int64
	for _, s := range seconds {
		asked += s.asked
		sent += s.sent
		begun += s.begunTokens
		if s.share > 0 && s.served < s.share && s.refusals["shed"]+s.refusals["busy"]+s.refusals["full"] > 0 {
			refusedBelowShare++
		}
		for name, n := range s.refusals {
			all[name] += n
		}
	}
	var parts []string
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		for name := range all {
			if !yield(name) {
				return
			}
		}
	}) {
		if all[name] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", all[name], refusalReasons[name]))
		}
	}
	return fmt.Sprintf("%s: %d asked, %d sent, %d tokens begun; refused: %s; in %d of %d seconds a router refused requests on its own while the team was below its share",
		team, asked, sent, begun, cmp.Or(strings.Join(parts, ", "), "none"), refusedBelowShare, len(seconds))
}
