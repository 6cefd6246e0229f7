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

// logLine is one line of a router's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// text returns a field as text, empty if it isn't there.
func (l logLine) text(name string) string {
	value, found := l.fields[name]
	if !found {
		return ""
	}
	return fmt.Sprint(value)
}

// around is how far from a request's lines what a router learnt may explain it.
const around = 2 * time.Second

// believed are the events that change what a router takes for true.
var believed = []string{"platform", "config", "upstream", "peer_state", "member", "home", "home_silent", "evacuation", "start", "stop", "reload", "cached"}

// Explain prints the story of a request from the log lines of all routers: its
// own lines, and what the routers that handled it learnt around them, by time.
func Explain(out io.Writer, id string, in io.Reader) error {
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	story := storyOf(id, lines)
	if len(story) == 0 {
		return Error.New("no line about request %s; lines may have been left out under load (field \"omitted\")", id)
	}
	for _, l := range story {
		if _, err := fmt.Fprintln(out, l.String()); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// maxLine is the longest line that is read.
const maxLine = 1 << 20

// readLog reads JSON lines. What stands before the first brace, such as the time
// of a collector, is passed over, and so are lines of other programs.
func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
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

// storyOf picks the lines that concern a request.
func storyOf(id string, lines []logLine) []logLine {
	var own []logLine
	for _, l := range lines {
		if l.text("request") == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	story := slices.Clone(own)
	for _, l := range lines {
		if l.text("request") == "" && slices.Contains(believed, l.text("event")) && explains(l, own) {
			story = append(story, l)
		}
	}
	for _, l := range lines {
		if l.text("event") == "quarantine" && hasContentOf(l, own) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return cmp.Compare(a.at.UnixMilli(), b.at.UnixMilli()) })
	return story
}

// hasContentOf reports whether a line has the same team and content as one of the request's
// lines.
func hasContentOf(l logLine, own []logLine) bool {
	return slices.ContainsFunc(own, func(o logLine) bool {
		return o.text("content") != "" && o.text("content") == l.text("content") && o.text("team") == l.text("team")
	})
}

// explains reports whether what a router learnt bears on a request's lines: it
// was the same router, and the time is near. A line about an upstream counts
// only if the request met that upstream.
func explains(l logLine, own []logLine) bool {
	for _, o := range own {
		if o.text("process") != l.text("process") || o.at.Sub(l.at).Abs() > around+lasted(o) {
			continue
		}
		met := l.text("upstream")
		if met == "" || met == o.text("upstream") || strings.Contains(o.text("cause"), met) {
			return true
		}
	}
	return false
}

// lasted is how long a request took by the time of its line.
func lasted(l logLine) time.Duration {
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

// String returns the line for people: time, router, event, text and the rest.
func (l logLine) String() string {
	shown := []string{"time", "process", "event", "message", "level"}
	var rest []string
	for name, value := range l.fields {
		if !slices.Contains(shown, name) {
			rest = append(rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(rest)
	return fmt.Sprintf("%s %s [%s] %s: %s", l.at.Format("15:04:05.000"), l.text("process"), l.text("event"), l.text("message"), strings.Join(rest, " "))
}
