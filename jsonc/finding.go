package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a file.
type Finding struct {
	File string
	// Line and Column start at 1; both are 0 where the place is not known.
	Line, Column int
	// Path is the JSON pointer of the value.
	Path    string
	Message string
}

// String returns file:line:column: path: message.
func (f Finding) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, path, f.Message)
}

// Findings is a list of errors. It is an error itself when it is not empty.
type Findings []Finding

// Error returns one finding a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// sorted orders the findings by their place in the file.
func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return f
}
