package ctl

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// logLine is a parsed line of a router's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// field returns the value of a field as text, or an empty string if it is missing.
func (l logLine) field(name string) string {
	value, found := l.fields[name]
	if !found {
		return ""
	}
	return fmt.Sprint(value)
}

// contextWindow is the maximum time between a line about a request and a state change
// that is printed as its context.
const contextWindow = 2 * time.Second

// contextEvents are the events that log a change of a router's state or configuration.
var contextEvents = []string{"platform", "config", "upstream", "peer_state", "member", "home", "home_silent", "evacuation", "start", "stop", "reload", "cached", "entry"}

// Explain prints the log lines about a request in order of time, with the state
// changes that the routers that handled it logged around the same time. in holds the
// log lines of all routers.
func Explain(out io.Writer, id string, in io.Reader) error {
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	related := relatedLines(id, lines)
	if len(related) == 0 {
		return Error.New("no line about request %s; lines may have been left out under load (field \"omitted\")", id)
	}
	for _, l := range related {
		if _, err := fmt.Fprintln(out, l.String()); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// readLog parses JSON log lines. It ignores text before the first brace, such as the
// timestamp of a log collector, and skips lines of other programs.
func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(strings.NewReader(text[start:]))
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil {
			continue
		}
		number, isNumber := fields["time"].(json.Number)
		if !isNumber {
			continue
		}
		ms, err := number.Int64()
		if err != nil {
			continue
		}
		lines = append(lines, logLine{at: time.UnixMilli(ms).UTC(), fields: fields})
	}
	return lines, Error.Wrap(scanner.Err())
}

// relatedLines returns the lines about a request and their context, sorted by time.
func relatedLines(id string, lines []logLine) []logLine {
	var requestLines []logLine
	for _, l := range lines {
		if l.field("request") == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	related := slices.Clone(requestLines)
	for _, l := range lines {
		if l.field("request") == "" && slices.Contains(contextEvents, l.field("event")) && isContext(l, requestLines) {
			related = append(related, l)
		}
	}
	for _, l := range lines {
		if l.field("event") == "quarantine" && sameKey(l, requestLines) || l.field("event") == "upstream_broke" && isCrashWithPart(l, requestLines) {
			related = append(related, l)
		}
	}
	slices.SortStableFunc(related, func(a, b logLine) int { return cmp.Compare(a.at.UnixMilli(), b.at.UnixMilli()) })
	return related
}

// sameKey reports whether a line has the same part, or the same team and content, as one of
// requestLines.
func sameKey(l logLine, requestLines []logLine) bool {
	return slices.ContainsFunc(requestLines, func(o logLine) bool {
		return o.field("part") != "" && o.field("part") == l.field("part") ||
			o.field("content") != "" && o.field("content") == l.field("content") && o.field("team") == l.field("team")
	})
}

// isCrashWithPart reports whether a line is about another request whose upstream ended before it had
// started to answer, and whose prompt has the part for which one of requestLines was rejected.
func isCrashWithPart(l logLine, requestLines []logLine) bool {
	if l.field("answer_started") == "true" {
		return false
	}
	return slices.ContainsFunc(requestLines, func(o logLine) bool {
		part := o.field("part")
		return part != "" && o.field("request") != l.field("request") && slices.Contains(strings.Split(l.field("parts"), ","), part)
	})
}

// isContext reports whether a state change is relevant to a request: it was logged by
// the same router within contextWindow of the request. A line about an upstream is
// relevant only if one of the request's lines names that upstream.
func isContext(l logLine, requestLines []logLine) bool {
	for _, o := range requestLines {
		if o.field("process") != l.field("process") || o.at.Sub(l.at).Abs() > contextWindow+requestDuration(o) {
			continue
		}
		upstream := l.field("upstream")
		if upstream == "" || upstream == o.field("upstream") || strings.Contains(o.field("cause"), upstream) {
			return true
		}
	}
	return false
}

// requestDuration returns the elapsed time of a request when its line was logged, or 0
// if the line has none.
func requestDuration(l logLine) time.Duration {
	number, isNumber := l.fields["took_ms"].(json.Number)
	if !isNumber {
		return 0
	}
	ms, err := number.Int64()
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// String formats the line for display: time, router, event, message and other fields.
func (l logLine) String() string {
	headerFields := []string{"time", "process", "event", "message", "level"}
	var rest []string
	for name, value := range l.fields {
		if !slices.Contains(headerFields, name) {
			rest = append(rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(rest)
	return fmt.Sprintf("%s %s [%s] %s: %s", l.at.Format("15:04:05.000"), l.field("process"), l.field("event"), l.field("message"), strings.Join(rest, " "))
}
