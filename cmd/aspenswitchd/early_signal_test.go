package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/settings"
)

func buildProgram(g *WithT, dir string) string {
	program := filepath.Join(dir, "aspenswitchd")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

// signalSet returns a set of signals of a process, such as SigIgn, from its status in /proc.
func signalSet(g *WithT, pid int, name string) uint64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	g.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			set, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
			g.Expect(err).NotTo(HaveOccurred())
			return set
		}
	}
	return 0
}

func contains(set uint64, s syscall.Signal) bool { return set&(1<<(s-1)) != 0 }

// fullPipe returns a pipe into which nothing more can be written before it is read.
func fullPipe(g *WithT) (r, w *os.File) {
	fds := make([]int, 2)
	g.Expect(syscall.Pipe2(fds, syscall.O_CLOEXEC|syscall.O_NONBLOCK)).To(Succeed())
	for {
		if _, err := syscall.Write(fds[1], []byte{'\n'}); err != nil {
			break
		}
	}
	g.Expect(syscall.SetNonblock(fds[0], false)).To(Succeed())
	g.Expect(syscall.SetNonblock(fds[1], false)).To(Succeed())
	return os.NewFile(uintptr(fds[0]), "read end"), os.NewFile(uintptr(fds[1]), "write end")
}

// Guards against SIGHUP ending a process whose packages aren't initialized yet, on a VM that is busy
// or was suspended.
func TestReloadSignalBeforeInitializationEndsNothing(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	cmd := exec.Command(buildProgram(g, dir), "platform", "--settings", filepath.Join(dir, "missing.json"))
	// The trace blocks the process at the initialization of its first package.
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	stderr, blocked := fullPipe(g)
	cmd.Stderr = blocked
	g.Expect(cmd.Start()).To(Succeed())
	g.Expect(blocked.Close()).To(Succeed())
	g.Eventually(func() bool { return contains(signalSet(g, cmd.Process.Pid, "SigCgt"), syscall.SIGSEGV) }, 10*time.Second, time.Millisecond).
		Should(BeTrue(), "the Go runtime handles signals")
	g.Expect(contains(signalSet(g, cmd.Process.Pid, "SigIgn"), syscall.SIGHUP)).To(BeTrue(), "SIGHUP is ignored")
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	go func() { _, _ = io.Copy(io.Discard, stderr) }() // ends with the process

	err := cmd.Wait()
	var exit *exec.ExitError
	g.Expect(errors.As(err, &exit)).To(BeTrue(), "there are no settings")
	g.Expect(exit.Exited()).To(BeTrue(), "ended by %v", exit)
	g.Expect(exit.ExitCode()).To(Equal(1))
}

// Guards against settings that change while a process reads them at its start, and stay unknown to it
// because the signal was ignored.
func TestReloadSignalDuringTheStartReloadsTheSettings(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	pipe := filepath.Join(dir, "settings.json")
	g.Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
	cmd := exec.Command(buildProgram(g, dir), "platform", "--settings", pipe)
	g.Expect(cmd.Start()).To(Succeed())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // killed
	})

	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // waits for the process to open it
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Expect(json.NewEncoder(writer).Encode(startSettings())).To(Succeed())
	g.Expect(writer.Close()).To(Succeed())

	g.Eventually(func() error {
		reader, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails unless the process reads again
		if err == nil {
			_ = reader.Close()
		}
		return err
	}, 10*time.Second, 10*time.Millisecond).Should(Succeed(), "the settings are read again")
}

// startSettings returns settings with which a process starts on loopback, without a platform.
func startSettings() settings.Fleet {
	// An address of this test process alone, whose ports are free.
	ip := fmt.Sprintf("127.201.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	s := settings.DefaultFleet()
	s.Name, s.FailureDomain, s.Metrics = "r0", "d0", 9464
	s.Callers, s.Readiness, s.Control, s.Platform = ip+":8000", ip+":8001", ip+":8002", ip+":8003"
	s.Peers = settings.Peers{IP: ip, Port: 7400}
	return s
}
