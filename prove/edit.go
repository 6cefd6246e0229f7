package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// edit takes a mechanism out of the source.
type edit struct {
	File string `json:"file"`
	// Old is replaced by New; it must stand in the file exactly once.
	Old string `json:"old"`
	New string `json:"new"`
}

// apply changes a copy of the source and returns what the file held before.
func (e edit) apply(dir string) (before []byte, err error) {
	file := filepath.Join(dir, e.File)
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if n := strings.Count(string(raw), e.Old); n != 1 {
		return nil, fmt.Errorf("%s holds the text %d times, not once", e.File, n)
	}
	return raw, os.WriteFile(file, []byte(strings.Replace(string(raw), e.Old, e.New, 1)), 0o644)
}

// copyTree copies what git tracks, but for the journal.
func copyTree(dir string) error {
	names, err := exec.Command("git", "ls-files", "-z", "--", ".", ":!journal").Output()
	if err != nil {
		return err
	}
	for name := range strings.SplitSeq(strings.TrimRight(string(names), "\x00"), "\x00") {
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		to := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(to, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}
