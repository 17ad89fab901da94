// Package cluster starts the real programs on stand-ins for tests: the
// platform, availability zones with hosts, engines and services. Everything
// listens on free ports of 127.0.0.1, and every connection that a test may
// want to break goes through a relay.
package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// startTimeout is how long a process may take to listen.
const startTimeout = 20 * time.Second

// Process is a running program whose output goes to a file.
type Process struct {
	Name    string
	LogFile string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// StartProcess runs a program until the test's cleanup kills it.
func StartProcess(dir, name, program string, args ...string) *Process {
	ginkgo.GinkgoHelper()
	logFile := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = output.Close() }()
	p := &Process{Name: name, LogFile: logFile, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	gomega.Expect(p.cmd.Start()).To(gomega.Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	ginkgo.DeferCleanup(p.Kill)
	return p
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue lets a paused process run on.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to end with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup tells the process with SIGHUP that its settings changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of a process that has ended, or -1 if a
// signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the output so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogFile)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(data)
}

func (p *Process) signal(signal syscall.Signal) {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.cmd.Process.Signal(signal)).To(gomega.Succeed())
}

// waitFile returns the contents of a file that a process writes at its start.
func (p *Process) waitFile(file string) string {
	ginkgo.GinkgoHelper()
	var text string
	gomega.Eventually(func(g gomega.Gomega) {
		select {
		case <-p.exited:
			gomega.StopTrying(p.Name + " ended: " + p.Log()).Now()
		default:
		}
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text = strings.TrimSpace(string(data))
		g.Expect(text).NotTo(gomega.BeEmpty())
	}, startTimeout, "20ms").Should(gomega.Succeed())
	return text
}
