package stage

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record of a run: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record's file.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	Must(err)
	return &Record{file: file, start: time.Now()}
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Must ends the case as not run if there is an error.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		endAll()
		os.Exit(NotRun)
	}
}

// Finish ends all processes and exits with the code.
func Finish(code int) {
	endAll()
	os.Exit(code)
}

// Trouble reports whether the disruption is wanted.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Listen opens a listener on a free port of 127.0.0.1.
func Listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	return listener
}

func freeAddress() string {
	listener := Listen()
	defer listener.Close()
	return listener.Addr().String()
}

// Host is a process of the project's daemon.
type Host struct {
	Name, Callers, Readiness string
	settings, log            string
	values                   map[string]any
	command                  *exec.Cmd
	done                     chan struct{}
}

var (
	hostsMu sync.Mutex
	hosts   []*Host
)

func endAll() {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	for _, h := range hosts {
		h.Kill()
	}
}

// NewHost writes the settings of a host, in the form of the template of the deploy file, and
// starts its process.
func NewHost(dir, name, zone, store string) *Host {
	h := &Host{Name: name, Callers: freeAddress(), Readiness: freeAddress(), settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	settings := map[string]any{
		"host":        map[string]string{"name": name, "zone": zone, "region": "r"},
		"listen":      map[string]string{"callers": h.Callers, "readiness": h.Readiness, "peers": freeAddress(), "metrics": freeAddress()},
		"store":       map[string]string{"address": store},
		"memory_mb":   284,
		"first_start": true,
		"bounds": map[string]any{
			"grace": "8s", "retry_ratio": 0.2, "retry_reserve": 56, "retry_window": "10s", "quota_window": "8s",
			"lease": "3000ms", "load_window": "5s", "load_overage": 1.1,
		},
	}
	h.values = settings
	h.writeSettings()
	h.Start()
	hostsMu.Lock()
	hosts = append(hosts, h)
	hostsMu.Unlock()
	return h
}

func (h *Host) writeSettings() {
	raw, err := json.Marshal(h.values)
	Must(err)
	Must(os.WriteFile(h.settings, raw, 0o600))
}

// StartAgain starts the process again after its end, as the platform does: the settings say that
// this is not the first start of the whole system.
func (h *Host) StartAgain() {
	h.values["first_start"] = false
	h.writeSettings()
	h.Start()
}

// Start starts the process.
func (h *Host) Start() {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	h.command = exec.Command("target/bilberryslip-edge", "--settings", h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(h.command.Start())
	h.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}(h.command, h.done)
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) { _ = h.command.Process.Signal(signal) }

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.done
}

// Ended reports whether the process has ended.
func (h *Host) Ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the host is ready.
func (h *Host) AwaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + h.Readiness + Names.Ready)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	Must(fmt.Errorf("%s did not get ready", h.Name))
}
