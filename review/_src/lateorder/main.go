// Command lateorder shows what an order does that is carried out late, after the worker
// that it was meant for has started again under its id.
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
	// crashDelay is the time from the order without an answer to the crash, downFor that from
	// the crash to the next start, orderDelay that until the order is carried out.
	crashDelay, downFor, orderDelay = 250 * time.Millisecond, time.Second, 10 * time.Second
	// shiftAt is when m4 is asked for, once, and otherAt from when on m5 is.
	shiftAt, otherAt = 3 * time.Second, 6500 * time.Millisecond
	diskLoad         = 840 * time.Millisecond
)

var models = []string{"m0", "m1", "m2", "m3", "m4", "m5"}

// run is the state that the workers and clients share.
type run struct {
	*kit.Deployment
	trouble bool

	mu     sync.Mutex
	first  *kit.Worker // the present incarnation of the worker i-1
	late   int
	starts int
	broken bool
	served int
}

func main() {
	kit.Main(func(d *kit.Deployment, trouble bool) int {
		r := &run{Deployment: d, trouble: trouble}
		return r.play()
	})
}

// newEngine returns the engine of a worker that holds models.
func (r *run) newEngine(disk []string, held ...string) *kit.Engine {
	e := &kit.Engine{MemoryMB: kit.EngineMB, Size: make(map[string]float64), Load: diskLoad, Disk: disk, Log: r.Record}
	for _, m := range models {
		e.Size[m] = kit.ModelMB
	}
	e.OverCapacity = func(o kit.Order, held []string) {
		r.Record("LIMIT broken: a worker that holds %v is ordered to load %s too: %.0f MB of %.0f", held, o.Model, float64(len(held)+1)*kit.ModelMB, kit.EngineMB)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.broken = true
		if r.first != nil {
			go r.first.Crash()
		}
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
		if i == 0 {
			w.Engine = r.newEngine([]string{"m0", "m1", "m4", "m5"}, "m0", "m1")
			w.Engine.Late, w.Engine.Deliver = r.isLate, r.deliver
			r.first = w
		} else {
			w.Engine = r.newEngine([]string{"m2", "m3"}, "m2", "m3")
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
	client(time.Second, func(n int) string { return map[bool]string{true: "m0/a1"}[n == 1] })
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
	time.Sleep(shiftAt + 1500*time.Millisecond + orderDelay + 3*time.Second)
	close(end)
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Record("%d requests served, %d orders late, %d further starts", r.served, r.late, r.starts)
	switch {
	case r.broken:
		return kit.Broken
	case r.served < 100 || r.trouble && (r.late != 1 || r.starts != 1):
		return kit.NotRun
	}
	r.Record("LIMIT kept")
	return kit.Held
}

// isLate makes the order to load m4 late, once, and the worker crash after it.
func (r *run) isLate(o kit.Order) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.trouble || r.late > 0 || o.Operation != "load" || o.Model != "m4" {
		return 0, false
	}
	r.late++
	time.AfterFunc(crashDelay, r.restart)
	return orderDelay, true
}

// restart makes the worker i-1 crash and start again, empty, under its id and at its
// address. Its disk is as it was.
func (r *run) restart() {
	r.mu.Lock()
	old := r.first
	r.mu.Unlock()
	r.Record("worker %s crashes", old.ID)
	old.Crash()
	time.Sleep(downFor)
	w := &kit.Worker{ID: old.ID, Service: "llm", Zone: old.Zone, Slots: 64, Address: old.Address, Run: r.answer}
	w.Engine = r.newEngine([]string{"m0", "m1", "m4", "m5"})
	r.mu.Lock()
	r.first = w
	r.starts++
	r.mu.Unlock()
	if err := w.Start(r.Store); err != nil {
		r.Record("worker not started again: %v", err)
		return
	}
	r.Record("worker %s started again, empty", w.ID)
}

// deliver delivers a late order to the worker that has the address now.
func (r *run) deliver(o kit.Order) {
	r.mu.Lock()
	w := r.first
	r.mu.Unlock()
	r.Record("the late order reaches worker %s, which holds %v", w.ID, w.Engine.Held())
	w.Engine.Apply(w, o)
}

func (r *run) answer(w *kit.Worker, conn net.Conn, q *kit.Request) bool {
	model, adapter, _ := strings.Cut(q.Header.Get(kit.Wire.Model), "/")
	if !w.Engine.Holds(model, adapter) {
		return kit.Reply(conn, "421 Misdirected Request", q, map[string]string{kit.Wire.NotRun: "1"}, "")
	}
	r.Record("worker %s runs %s", w.ID, q.ID)
	time.Sleep(20 * time.Millisecond)
	return kit.Reply(conn, "200 OK", q, map[string]string{kit.Wire.Stamp: w.Stamp(q), "Content-Type": "text/event-stream"}, "id: 1\ndata: a draft\n\n")
}

func (r *run) send(model string, n int) {
	id := fmt.Sprintf("%s-%d", strings.ReplaceAll(model, "/", "-"), n)
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
