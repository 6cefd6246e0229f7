package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// edit is a replacement that removes a safeguard or a mechanism from a source file.
type edit struct {
	File string `json:"file"`
	// Old is replaced by New. It must occur in the file exactly once.
	Old string `json:"old"`
	New string `json:"new"`
}

// apply edits the copy of the source in dir and returns the file's original content.
func (e edit) apply(dir string) (original []byte, err error) {
	file := filepath.Join(dir, e.File)
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if n := strings.Count(string(raw), e.Old); n != 1 {
		return nil, fmt.Errorf("%s contains the old text %d times, want exactly once", e.File, n)
	}
	return raw, os.WriteFile(file, []byte(strings.Replace(string(raw), e.Old, e.New, 1)), 0o644)
}

// copyTree copies all files tracked by git, except the journal, to dst.
func copyTree(dst string) error {
	names, err := exec.Command("git", "ls-files", "-z", "--", ".", ":!journal").Output()
	if err != nil {
		return err
	}
	for name := range strings.SplitSeq(strings.TrimRight(string(names), "\x00"), "\x00") {
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		target := filepath.Join(dst, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}
