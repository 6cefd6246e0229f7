package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// safeguard is a piece of source and the test that must fail without it.
type safeguard struct {
	Name string `json:"name"`
	edit
	// Package and Test name the test; Focus selects a spec of a ginkgo suite.
	Package string `json:"package"`
	Test    string `json:"test"`
	Focus   string `json:"focus"`
}

// testSafeguards removes each safeguard whose name contains substr, one at a time, and
// returns an error if the test of any of them passes without it.
func testSafeguards(substr string) error {
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
	surviving := 0
	for _, s := range all {
		if !strings.Contains(s.Name, substr) {
			continue
		}
		failed, err := s.testFailsWithout(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		verdict := "test fails without it"
		if !failed {
			verdict = "TEST PASSES WITHOUT IT"
			surviving++
		}
		fmt.Printf("%-60s %-70s %s\n", s.Name, s.Package+" "+s.Test+s.Focus, verdict)
	}
	if surviving > 0 {
		return fmt.Errorf("%d safeguards can be removed without a test failure", surviving)
	}
	return nil
}

// readList decodes a JSON list into dst. The path is relative to the root of the source.
func readList(file string, dst any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, dst)
}

// testFailsWithout runs the test on the copy in dir without the safeguard, then restores
// the copy. A test that runs into its timeout counts as failed: without the safeguard
// its caller would wait forever.
func (s safeguard) testFailsWithout(dir string) (failed bool, err error) {
	original, err := s.apply(dir)
	if err != nil {
		return false, err
	}
	defer func() { _ = os.WriteFile(filepath.Join(dir, s.File), original, 0o644) }()
	args := []string{"test", "-count=1", "-timeout", "60s", s.Package, "-run", s.Test}
	if s.Focus != "" {
		args = append(args, "-ginkgo.focus", s.Focus)
	}
	cmd := exec.Command("go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if strings.Contains(string(out), "[build failed]") || strings.Contains(string(out), "[setup failed]") {
		return false, fmt.Errorf("source does not build without the safeguard:\n%s", out)
	}
	return err != nil, nil
}
