package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/soak"
)

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
	cfg := soak.DefaultConfig()
	cfg.Seed, cfg.Daemon = 1, buildDaemon(t)
	cfg.Duration, cfg.Routers, cfg.Callers, cfg.Faults = 6*time.Second, 3, 8, 2.5
	play(t, cfg)
}

// The seeds that once broke a promise.
func TestRegressions(t *testing.T) {
	g := NewWithT(t)
	known, err := soak.LoadRegressions("regressions.json")
	g.Expect(err).NotTo(HaveOccurred())
	daemon := buildDaemon(t)
	for slot, r := range known {
		t.Run(fmt.Sprint(r.Seed), func(t *testing.T) {
			t.Parallel()
			cfg := r.Config(soak.DefaultConfig())
			cfg.Daemon, cfg.Slot = daemon, slot+1
			play(t, cfg)
		})
	}
}

func play(t *testing.T, cfg soak.Config) {
	t.Helper()
	g := NewWithT(t)
	cfg.Dir = t.TempDir()
	r, err := soak.Play(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Violations).To(BeEmpty(), "seed %d", cfg.Seed)
	g.Expect(r.Served).To(BeNumerically(">", 100), "seed %d", cfg.Seed)
}
