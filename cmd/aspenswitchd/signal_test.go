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

// The platform says that the settings have changed while a process is only just
// starting and still reads them. The signal's default is to end the process: the VM
// would be out of service for a start more. The process must take it as what it is,
// and here end with its findings about the settings.
func TestReloadSignalDuringTheStartEndsNothing(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	program, pipe := filepath.Join(dir, "aspenswitchd"), filepath.Join(dir, "settings.json")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	g.Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
	cmd := exec.Command(program, "platform", "--settings", pipe)
	g.Expect(cmd.Start()).To(Succeed())

	// The pipe opens once the process has opened it for reading.
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
