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
	edit
	// Package and Test name the test; Focus picks a spec of a ginkgo suite.
	Package string `json:"package"`
	Test    string `json:"test"`
	Focus   string `json:"focus"`
}

// proveSafeguards expects the test of each safeguard whose name holds a text to fail
// without it.
func proveSafeguards(text string) error {
	var all []safeguard
	if err := readList("prove/safeguards.json", &all); err != nil {
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
		if !strings.Contains(s.Name, text) {
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

// readList reads a list that lies beside this source.
func readList(file string, into any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// withoutIt runs the test on the copy without the safeguard. A test that hangs
// fails too: its caller would wait for good.
func (s safeguard) withoutIt(dir string) (failed bool, err error) {
	before, err := s.apply(dir)
	if err != nil {
		return false, err
	}
	defer func() { _ = os.WriteFile(filepath.Join(dir, s.File), before, 0o644) }()
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
