package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a file.
type Finding struct {
	File string
	// Line and Column start at 1; both are 0 if the position is unknown.
	Line, Column int
	// Path is the JSON pointer (RFC 6901) to the value.
	Path    string
	Message string
}

// String returns the finding as "file:line:column: path: message".
func (f Finding) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, path, f.Message)
}

// Findings is a list of errors. A list that isn't empty is itself an error; see Err.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// sorted sorts the findings by their position in the file and returns them.
func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return f
}
