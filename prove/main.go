// Command prove shows that the failure tests can fail: it takes one safeguard at
// a time out of a copy of the source and expects the named test to fail without
// it. It is a tool for developers, no part of the product. An argument picks the
// safeguards whose names hold it.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// safeguard is a piece of source and the test that needs it.
type safeguard struct {
	Name string `json:"name"`
	File string `json:"file"`
	// Old is replaced by New; it must stand in the file exactly once.
	Old string `json:"old"`
	New string `json:"new"`
	// Package and Test name the test; Focus picks a spec of a ginkgo suite.
	Package string `json:"package"`
	Test    string `json:"test"`
	Focus   string `json:"focus"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "prove:", err)
		os.Exit(1)
	}
}

func run() error {
	raw, err := os.ReadFile("prove/safeguards.json")
	if err != nil {
		return err
	}
	var all []safeguard
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyTree(dir); err != nil {
		return err
	}
	survived := 0
	for _, s := range all {
		if !picked(s.Name) {
			continue
		}
		failed, err := s.withoutIt(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		verdict := "test fails without it"
		if !failed {
			verdict = "TEST PASSES WITHOUT IT"
			survived++
		}
		fmt.Printf("%-60s %-70s %s\n", s.Name, s.Package+" "+s.Test+s.Focus, verdict)
	}
	if survived > 0 {
		return fmt.Errorf("%d safeguards can go without a test noticing", survived)
	}
	return nil
}

// picked reports whether a safeguard is asked for.
func picked(name string) bool {
	return len(os.Args) < 2 || strings.Contains(name, os.Args[1])
}

// copyTree copies what git tracks.
func copyTree(dir string) error {
	names, err := exec.Command("git", "ls-files", "-z").Output()
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

// withoutIt runs the test on the copy without the safeguard. A test that hangs
// fails too: its caller would wait for good.
func (s safeguard) withoutIt(dir string) (failed bool, err error) {
	file := filepath.Join(dir, s.File)
	raw, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	if n := strings.Count(string(raw), s.Old); n != 1 {
		return false, fmt.Errorf("%s holds the text %d times, not once", s.File, n)
	}
	changed := strings.Replace(string(raw), s.Old, s.New, 1)
	if err := os.WriteFile(file, []byte(changed), 0o644); err != nil {
		return false, err
	}
	defer func() { _ = os.WriteFile(file, raw, 0o644) }()
	args := []string{"test", "-count=1", "-timeout", "60s", s.Package, "-run", s.Test}
	if s.Focus != "" {
		args = append(args, "-ginkgo.focus", s.Focus)
	}
	cmd := exec.Command("go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if strings.Contains(string(out), "[build failed]") || strings.Contains(string(out), "[setup failed]") {
		return false, fmt.Errorf("does not build without it:\n%s", out)
	}
	return err != nil, nil
}
