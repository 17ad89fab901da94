// Package cluster starts a test cluster of real processes: the daemon on every
// host, and stand-ins for the platform, the engines and the plain services. All
// processes listen on free ports of 127.0.0.1. Connections from hosts to the
// platform, to peers and to endpoints go through relays that tests can break.
package cluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// startTimeout is the time within which a process has to write its address file.
const startTimeout = 20 * time.Second

// pauseTimeout is the time within which a process has to stop running after SIGSTOP.
const pauseTimeout = 2 * time.Second

// Process is a running program. Its standard output and standard error are
// appended to LogFile.
type Process struct {
	Name    string
	LogFile string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// StartProcess starts a program whose log is dir/name.log. The test's cleanup
// kills it.
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

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Pause sends SIGSTOP and waits until all threads have stopped.
func (p *Process) Pause() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGSTOP)
	gomega.Eventually(p.running, pauseTimeout, "1ms").Should(gomega.BeZero())
}

// running returns the number of threads that have not stopped.
func (p *Process) running() int {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	running := 0
	for _, stat := range stats {
		// The state follows the name of the program, which is in parentheses.
		text, err := os.ReadFile(stat)
		if state := text[bytes.LastIndexByte(text, ')')+1:]; err == nil && !bytes.HasPrefix(state, []byte(" T")) {
			running++
		}
	}
	return running
}

// Continue sends SIGCONT to resume a paused process.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, on which the edge daemon reloads its settings.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// PeakMemory returns the largest resident set of the process so far, in bytes.
func (p *Process) PeakMemory() int64 {
	ginkgo.GinkgoHelper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, line := range strings.Split(string(status), "\n") {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	ginkgo.Fail("no VmHWM in the status of process " + p.Name)
	return 0
}

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of a process that has exited, or -1 if a signal
// killed it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the output of the process so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogFile)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(data)
}

func (p *Process) signal(signal syscall.Signal) {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.cmd.Process.Signal(signal)).To(gomega.Succeed())
}

// waitFile waits until the process has written a file at its start and returns the
// trimmed contents. It stops waiting if the process exits.
func (p *Process) waitFile(file string) string {
	ginkgo.GinkgoHelper()
	var text string
	gomega.Eventually(func(g gomega.Gomega) {
		select {
		case <-p.exited:
			gomega.StopTrying(p.Name + " exited: " + p.Log()).Now()
		default:
		}
		data, err := os.ReadFile(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text = strings.TrimSpace(string(data))
		g.Expect(text).NotTo(gomega.BeEmpty())
	}, startTimeout, "20ms").Should(gomega.Succeed())
	return text
}
