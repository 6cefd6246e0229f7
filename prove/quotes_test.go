package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against safeguards and mechanisms that quote source which has changed, and so prove nothing.
func TestQuotesAreFound(t *testing.T) {
	const root = ".."
	var safeguards []safeguard
	if err := readList(filepath.Join(root, "prove", "safeguards.json"), &safeguards); err != nil {
		t.Fatal(err)
	}
	for _, s := range safeguards {
		raw, err := os.ReadFile(filepath.Join(root, s.File))
		if err != nil {
			t.Errorf("%s: %v", s.Name, err)
			continue
		}
		if n := strings.Count(string(raw), s.Old); n != 1 {
			t.Errorf("%s: %s contains the quote %d times, want exactly once", s.Name, s.File, n)
		}
	}
}
