package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against SIGHUP ending a process that is still reading its settings at startup.
// The platform sends it when settings change, and its default action ends the process,
// which costs the VM another start. Here the process must exit with its findings.
func TestReloadSignalDuringTheStartEndsNothing(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	program, pipe := filepath.Join(dir, "aspenswitchd"), filepath.Join(dir, "settings.json")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	g.Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
	cmd := exec.Command(program, "platform", "--settings", pipe)
	g.Expect(cmd.Start()).To(Succeed())

	// Opening the pipe blocks until the process has opened it for reading.
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	_, _ = settings.WriteString("{}") // a process that was ended reads nothing
	_ = settings.Close()

	err = cmd.Wait()
	var exit *exec.ExitError
	g.Expect(errors.As(err, &exit)).To(BeTrue(), "the settings have findings")
	g.Expect(exit.Exited()).To(BeTrue(), "ended by %v", exit)
	g.Expect(exit.ExitCode()).To(Equal(1))
}
