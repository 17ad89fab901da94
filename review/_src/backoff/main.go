// Command backoff shows what a worker is ordered to load after it has asked the daemons for
// a time without requests while it loaded a model.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/review/_src/kit"
)

const (
	workers = 9
	// shiftAt is when m4 is asked for, once, and otherAt from when on m5 is.
	shiftAt, otherAt = 3 * time.Second, 26 * time.Second
	length           = 32 * time.Second
	// coldLoad is the time of a load from the weight store, retryAfter what the worker that
	// loads tells those that it turns away.
	coldLoad, retryAfter = 4200 * time.Millisecond, "18"
)

var models = []string{"m0", "m1", "m2", "m3", "m4", "m5"}

// run is the state that the workers and clients share.
type run struct {
	*kit.Deployment
	trouble bool

	mu         sync.Mutex
	first      *kit.Worker
	turnedAway int
	broken     bool
	served     int
}

func main() {
	kit.Main(func(d *kit.Deployment, trouble bool) int {
		r := &run{Deployment: d, trouble: trouble}
		return r.play()
	})
}

// newEngine returns the engine of a worker that holds models.
func (r *run) newEngine(disk []string, held ...string) *kit.Engine {
	e := &kit.Engine{MemoryMB: kit.EngineMB, Size: make(map[string]float64), Load: coldLoad, Disk: disk, Log: r.Record}
	for _, m := range models {
		e.Size[m] = kit.ModelMB
	}
	e.OverCapacity = func(o kit.Order, held []string) {
		r.Record("LIMIT broken: a worker that holds %v is ordered to load %s too: %.0f MB of %.0f", held, o.Model, float64(len(held)+1)*kit.ModelMB, kit.EngineMB)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.broken = true
		go r.first.Crash()
	}
	return kit.NewEngine(e, held...)
}

func (r *run) play() int {
	r.Store.Put("config", "main", kit.Config(1, models, kit.Route{
		Name: "counter-draft", Prefix: "/draft/", Type: "streaming", Service: "llm", TimeoutMs: 6000, MaxAttempts: 1,
	}))
	zones := []string{"qce-1", "qce-2", "qce-3"}
	var list []*kit.Worker
	for i := range workers {
		w := &kit.Worker{ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: zones[i%3], Slots: 64, Run: r.answer}
		w.Engine = r.newEngine([]string{"m2", "m3"}, "m2", "m3")
		if i == 0 {
			w.Engine = r.newEngine([]string{"m0", "m1", "m4", "m5"}, "m0", "m1")
			r.first = w
		}
		list = append(list, w)
	}
	if err := r.StartAll(list, zones); err != nil {
		r.Record("%v", err)
		return kit.NotRun
	}
	end := make(chan struct{})
	var group sync.WaitGroup
	started := time.Now()
	client := func(every time.Duration, wanted func(n int) string) {
		group.Go(func() {
			for n := 0; ; n++ {
				if model := wanted(n); model != "" {
					r.send(model, n)
				}
				select {
				case <-end:
					return
				case <-time.After(every):
				}
			}
		})
	}
	for _, model := range []string{"m0", "m2", "m3"} {
		client(250*time.Millisecond, func(int) string { return model })
	}
	asked := false
	client(200*time.Millisecond, func(int) string {
		switch since := time.Since(started); {
		case since >= otherAt:
			return "m5"
		case since >= shiftAt && !asked:
			asked = true
			return "m4"
		}
		return ""
	})
	time.Sleep(length)
	close(end)
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Record("%d requests served, %d turned away with a time to come back", r.served, r.turnedAway)
	switch {
	case r.broken:
		return kit.Broken
	case r.served < 100 || r.trouble && r.turnedAway == 0:
		return kit.NotRun
	}
	r.Record("LIMIT kept")
	return kit.Held
}

// answer serves a draft. In trouble, a worker that loads a model turns requests away and
// says when it wants the next one.
func (r *run) answer(w *kit.Worker, conn net.Conn, q *kit.Request) bool {
	model, adapter, _ := strings.Cut(q.Header.Get(kit.Wire.Model), "/")
	if !w.Engine.Holds(model, adapter) {
		return kit.Reply(conn, "421 Misdirected Request", q, map[string]string{kit.Wire.NotRun: "1"}, "")
	}
	if r.trouble && w.Engine.Busy() {
		r.mu.Lock()
		r.turnedAway++
		r.mu.Unlock()
		r.Record("worker %s turns %s away for %s s", w.ID, q.ID, retryAfter)
		return kit.Reply(conn, "503 Service Unavailable", q, map[string]string{kit.Wire.NotRun: "1", "Retry-After": retryAfter}, "")
	}
	r.Record("worker %s runs %s", w.ID, q.ID)
	time.Sleep(20 * time.Millisecond)
	return kit.Reply(conn, "200 OK", q, map[string]string{kit.Wire.Stamp: w.Stamp(q), "Content-Type": "text/event-stream"}, "id: 1\ndata: a draft\n\n")
}

func (r *run) send(model string, n int) {
	id := fmt.Sprintf("%s-%d", model, n)
	answer := r.Edges[n%len(r.Edges)].Send(kit.Attempt{
		ID: id, Method: http.MethodPost, Target: "/draft/2f", Body: "a prompt", Deadline: 6 * time.Second,
		Header: map[string]string{kit.Wire.Model: model, kit.Wire.Tokens: "400,100"},
	})
	r.Record("client: %s for %s got %d, error %v", id, model, answer.Status, answer.Err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.Status == http.StatusOK {
		r.served++
	}
}
