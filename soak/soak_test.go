package soak_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/soak"
)

// regression is a seed that once broke a promise.
type regression struct {
	Seed  uint64 `json:"seed"`
	Cause string `json:"cause"`
}

// buildDaemon builds a router with the race detector.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "aspenswitchd")
	out, err := exec.Command("go", "build", "-race", "-o", program, "../cmd/aspenswitchd").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

// Routers as separate processes, hurt from outside: callers must get whole answers
// to their own requests, what was refused must not have run, what must run once
// must not run twice, keys must end in time, and all must serve as before in the
// end. Fast faults, so that a short run meets many beside each other.
func TestShortSoak(t *testing.T) {
	daemon := buildDaemon(t)
	for _, seed := range seeds(t) {
		g := NewWithT(t)
		cfg := soak.DefaultConfig()
		cfg.Seed, cfg.Daemon, cfg.Dir = seed, daemon, t.TempDir()
		cfg.Duration, cfg.Routers, cfg.Callers, cfg.Faults = 6*time.Second, 3, 8, 2.5
		r, err := soak.Play(cfg)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Violations).To(BeEmpty(), "seed %d", seed)
		g.Expect(r.Served).To(BeNumerically(">", 100), "seed %d", seed)
	}
}

// seeds are the one that is always played and those that once failed.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	g := NewWithT(t)
	raw, err := os.ReadFile("regressions.json")
	g.Expect(err).NotTo(HaveOccurred())
	var known []regression
	g.Expect(json.Unmarshal(raw, &known)).To(Succeed())
	all := []uint64{1}
	for _, r := range known {
		g.Expect(r.Cause).NotTo(BeEmpty())
		all = append(all, r.Seed)
	}
	return all
}
