// Command restored shows whether the daemons use a service's workers again after the
// store was down, so that their entries expired, and soon after came back from a copy that
// was made before the outage.
package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/review/_src/kit"
)

const (
	workers = 3
	// copyAt is when the copy is made, downAt when the store goes down, downFor for how long.
	copyAt, downAt, downFor = 3 * time.Second, 4 * time.Second, 4500 * time.Millisecond
	// awayAfter is the time from the end of the outage to the drill, awayFor how long the
	// store is away in it.
	awayAfter, awayFor = 1200 * time.Millisecond, time.Second
	// reconnect is the time from the return of the store until its workers write again.
	reconnect = 1800 * time.Millisecond
	// recovery is the time after which a quarter of the requests must be served, contact that
	// after a disruption of the store from which on the machines are in touch; judged is how
	// long requests are judged.
	contact, recovery, judged = 3 * time.Second, 12 * time.Second, 20 * time.Second
	perSecond                 = 10
	work                      = 30 * time.Millisecond
)

// run is the state that the clients share.
type run struct {
	*kit.Deployment
	trouble bool
	config  map[string]any

	mu                   sync.Mutex
	before, servedBefore int
	after, servedAfter   int
}

func main() {
	kit.Main(func(d *kit.Deployment, trouble bool) int {
		r := &run{Deployment: d, trouble: trouble}
		return r.play()
	})
}

func (r *run) play() int {
	r.CountEras()
	route := func(name, prefix, kind string) kit.Route {
		return kit.Route{Name: name, Prefix: prefix, Type: kind, Service: "app", TimeoutMs: 4000, MaxAttempts: 2}
	}
	r.config = kit.Config(1, nil, route("issue", "/issue/", "non_idempotent"), route("check", "/check/", "idempotent"))
	r.Store.Put("config", "main", r.config)
	zones := []string{"qce-1", "qce-2", "qce-3"}
	var list []*kit.Worker
	for i := range workers {
		list = append(list, &kit.Worker{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: zones[i%3], Slots: 6, Reconnect: reconnect, Run: r.answer})
	}
	if err := r.StartAll(list, zones); err != nil {
		r.Record("%v", err)
		return kit.NotRun
	}
	started := time.Now()
	drillEnds := downAt + downFor + awayAfter + awayFor
	judgeFrom := started.Add(drillEnds + contact + recovery)
	if r.trouble {
		go r.disrupt(started, list)
	}
	var group sync.WaitGroup
	for n := 0; time.Since(started) < drillEnds+contact+recovery+judged; n++ {
		group.Go(func() { r.send(n, started, judgeFrom) })
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
	r.Record("before the outage %d of %d requests served; later than %v after it %d of %d; entries in the store: %v",
		r.servedBefore, r.before, recovery, r.servedAfter, r.after, r.Store.Names("servers"))
	switch {
	case r.servedBefore < r.before/4 || r.after == 0:
		return kit.NotRun
	case 4*r.servedAfter < r.after:
		r.Record("RECOVER broken")
		return kit.Broken
	}
	r.Record("RECOVER kept")
	return kit.Held
}

// disrupt takes the store down, and has it come back from a copy soon after it is up again.
func (r *run) disrupt(started time.Time, list []*kit.Worker) {
	at := func(d time.Duration) { time.Sleep(time.Until(started.Add(d))) }
	at(copyAt)
	older := r.Store.Copy()
	r.Record("store: a copy is made, with the entries %v", r.Store.Names("servers"))
	at(downAt)
	r.Record("store: down, silent")
	r.Store.Down()
	at(downAt + downFor)
	r.Store.Up()
	r.Record("store: answers again, with the entries %v", r.Store.Names("servers"))
	at(downAt + downFor + awayAfter)
	r.Record("store: away, with the entries %v", r.Store.Names("servers"))
	r.Store.Down()
	at(downAt + downFor + awayAfter + awayFor)
	r.Store.Restore(older)
	r.Record("store: back from the copy, with the entries %v", r.Store.Names("servers"))
	time.Sleep(reconnect + 100*time.Millisecond)
	for _, w := range list {
		w.Beat()
	}
	r.Store.Put("config", "main", r.config)
	r.Record("workers and operator: wrote again what they had written, now %v", r.Store.Names("servers"))
}

func (r *run) answer(w *kit.Worker, conn net.Conn, q *kit.Request) bool {
	r.Record("worker %s runs %s", w.ID, q.ID)
	time.Sleep(work)
	return kit.Reply(conn, "200 OK", q, map[string]string{kit.Wire.Stamp: w.Stamp(q)}, "done "+q.ID)
}

func (r *run) send(n int, started, judgeFrom time.Time) {
	a := kit.Attempt{ID: fmt.Sprintf("r-%d", n), Method: http.MethodGet, Target: "/check/2f", Deadline: 4 * time.Second}
	if n%2 == 0 {
		a.Method, a.Target, a.Body = http.MethodPost, "/issue/2f", "a stone"
	}
	edge, sent := r.Edges[n%len(r.Edges)], time.Now()
	answer := edge.Send(a)
	r.Record("client: %s %s by %s got %d, error %v", a.Target, a.ID, edge.Name, answer.Status, answer.Err)
	served := answer.Err == nil && answer.Status == http.StatusOK
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case sent.Before(started.Add(downAt)):
		r.before++
		if served {
			r.servedBefore++
		}
	case sent.After(judgeFrom):
		r.after++
		if served {
			r.servedAfter++
		}
	}
}
