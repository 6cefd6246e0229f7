package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("capacity")

// Marks between which the page's measured part stands.
const (
	beginMark = "<!-- measured: begin (make bench-capacity writes this) -->"
	endMark   = "<!-- measured: end -->"
)

// Table renders the series.
func (r Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Run with %s on %d cores.\n\n", r.GoVersion, r.Cores)
	b.WriteString("| series | against | figure | points (x: y) | slope a unit | at 0 | fit's error |\n|---|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.X, p.Y))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.4g | %.4g | %.0f %% |\n",
			s.Name, s.XName, s.YName, strings.Join(points, "; "), s.Slope, s.Intercept, 100*s.Error)
	}
	return b.String()
}

// WritePage puts the table into the page, between the marks.
func (r Report) WritePage(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	before, rest, ok := strings.Cut(string(raw), beginMark)
	_, after, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return Error.New("%s has no marks for the measured part", file)
	}
	page := before + beginMark + "\n" + r.Table() + endMark + after
	return Error.Wrap(os.WriteFile(file, []byte(page), 0o644))
}

// Check reports an error if the page's measured part is not this report's.
func (r Report) Check(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	if !strings.Contains(string(raw), beginMark+"\n"+r.Table()+endMark) {
		return Error.New("%s does not hold the figures of the last run: run make bench-capacity", file)
	}
	return nil
}

// Read reads a report.
func Read(file string) (Report, error) {
	var r Report
	raw, err := os.ReadFile(file)
	if err != nil {
		return r, Error.Wrap(err)
	}
	return r, Error.Wrap(json.Unmarshal(raw, &r))
}

// Write writes the report.
func (r Report) Write(file string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(file, append(raw, '\n'), 0o644))
}
