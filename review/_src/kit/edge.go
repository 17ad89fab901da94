package kit

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Edge is a daemon process.
type Edge struct {
	Name, Zone, Callers, Readiness, Peers, Metrics string

	program, settings, log string
	Command                *exec.Cmd
	ended                  chan struct{}
}

// Deployment is a set of daemons with the store.
type Deployment struct {
	Store *Store
	Edges []*Edge
	dir   string
	start time.Time
	out   *os.File
	once  sync.Once
	// used are the addresses handed out.
	used map[string]bool
}

// NewDeployment starts a store. Record lines go to the record file.
func NewDeployment(dir, record string) (*Deployment, error) {
	store, err := NewStore(0)
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: store, dir: dir, start: time.Now(), out: out, used: make(map[string]bool)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.Close()
		os.Exit(NotRun)
	}()
	return d, nil
}

// The exit codes of a case: the rule held, it was broken, the case could not run.
const Held, Broken, NotRun = 0, 1, 2

// Main runs a case with the flags of its script and exits.
func Main(play func(d *Deployment, trouble bool) int) {
	dir, record := flag.String("dir", "", "folder for settings and logs"), flag.String("record", "record.txt", "record of what was seen")
	flag.Parse()
	d, err := NewDeployment(*dir, *record)
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	code := play(d, os.Getenv("TROUBLE") != "0")
	d.Record("exit code %d", code)
	d.Close()
	os.Exit(code)
}

// CountEras makes the store send its era from now on.
func (d *Deployment) CountEras() {
	d.Store.mu.Lock()
	defer d.Store.mu.Unlock()
	d.Store.era = 1
}

// StartAll starts workers and a daemon in each zone, and waits until all know each other.
func (d *Deployment) StartAll(workers []*Worker, zones []string) error {
	for _, w := range workers {
		if err := w.Start(d.Store); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		if _, err := d.AddEdge(zone, ""); err != nil {
			return err
		}
	}
	if err := d.AwaitReady(len(workers)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // reports between the daemons, the placement lease
	return nil
}

// Record writes a line with the time since the start.
func (d *Deployment) Record(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%8.3f  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// firstPort and lastPort are the ports for the daemons, below those that the kernel gives to
// outgoing connections.
const firstPort, lastPort = 12_000, 32_000

// freeAddress returns a loopback address that nothing listens on, never the same twice.
func (d *Deployment) freeAddress() (string, error) {
	const attempts = 100
	err := errors.New("no free port")
	for range attempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if d.used[address] {
			continue
		}
		d.used[address] = true
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// AddEdge starts a daemon with the command of the deploy file and settings as its template
// gives them. Store is the address under which it reaches the store; empty for its own.
func (d *Deployment) AddEdge(zone, store string) (*Edge, error) {
	if store == "" {
		store = d.Store.Address
	}
	e := &Edge{Name: fmt.Sprintf("edge-%s-%d", zone, len(d.Edges)+1), Zone: zone, program: filepath.Join("target", "bilberryslip-edge")}
	e.settings, e.log = filepath.Join(d.dir, e.Name+".json"), filepath.Join(d.dir, e.Name+".log")
	const attempts = 10
	for range attempts { // an outgoing connection may take a port in between
		for _, address := range []*string{&e.Callers, &e.Readiness, &e.Peers, &e.Metrics} {
			free, err := d.freeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		if err := e.start(store, true); err != nil {
			return nil, err
		}
		if e.listens() {
			d.Edges = append(d.Edges, e)
			return e, nil
		}
	}
	return nil, fmt.Errorf("%s did not start", e.Name)
}

// listens waits until the process listens for callers. It returns false if the process ends
// instead.
func (e *Edge) listens() bool {
	for !e.Ended() {
		if conn, err := net.Dial("tcp", e.Callers); err == nil {
			_ = conn.Close()
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func (e *Edge) start(store string, first bool) error {
	settings, err := json.Marshal(map[string]any{
		"host":   map[string]string{"name": e.Name, "zone": e.Zone, "region": "qc-east"},
		"listen": map[string]string{"callers": e.Callers, "readiness": e.Readiness, "peers": e.Peers, "metrics": e.Metrics},
		"store":  map[string]string{"address": store}, "memory_mb": 284, "first_start": first,
		"bounds": map[string]any{
			"grace": "8s", "retry_ratio": 0.2, "retry_reserve": 52, "retry_window": "10s", "quota_window": "8s",
			"lease": "3000ms", "load_window": "5s", "load_overage": 1.1,
		},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.settings, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.Command = exec.Command(e.program, "--settings", e.settings)
	e.Command.Stdout, e.Command.Stderr = log, log
	if err := e.Command.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go func() {
		_ = e.Command.Wait()
		close(e.ended)
	}()
	return nil
}

// Kill ends the process.
func (e *Edge) Kill() {
	_ = e.Command.Process.Kill()
	<-e.ended
}

// Term sends SIGTERM.
func (e *Edge) Term() { _ = e.Command.Process.Signal(syscall.SIGTERM) }

// IsReady reports whether the readiness check succeeds.
func (e *Edge) IsReady() bool { return e.ready() }

// Ended reports whether the process has ended.
func (e *Edge) Ended() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// Restart starts the process again with the settings of a later start.
func (e *Edge) Restart(store string) error { return e.start(store, false) }

// Log returns the path of the process's log.
func (e *Edge) Log() string { return e.log }

// AwaitReady waits until all daemons are ready and know of count workers.
func (d *Deployment) AwaitReady(count int) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range d.Edges {
		for !e.ready() || e.listed() < count {
			if time.Now().After(deadline) {
				return errors.New(e.Name + " did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (e *Edge) ready() bool {
	response, err := http.Get("http://" + e.Readiness + Wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *Edge) listed() int {
	response, err := http.Get("http://" + e.Metrics + "/debug/state")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	var state struct {
		Endpoints []struct{ Gone bool } `json:"endpoints"`
	}
	if json.NewDecoder(response.Body).Decode(&state) != nil {
		return -1
	}
	listed := 0
	for _, endpoint := range state.Endpoints {
		if !endpoint.Gone {
			listed++
		}
	}
	return listed
}

// Close ends all processes.
func (d *Deployment) Close() {
	d.once.Do(func() {
		for _, e := range d.Edges {
			if e.Command.Process != nil {
				e.Kill()
			}
		}
		d.Store.Close()
		_ = d.out.Close()
	})
}
