// Command slashes shows which path a worker gets of requests whose path begins with two
// slashes, once the operator has added a route for all paths.
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
	workers  = 3
	requests = 60
	// changeAt is the request before which the operator changes the configuration.
	changeAt = 20
)

// run is the state that the workers and clients share.
type run struct {
	*kit.Deployment
	trouble bool

	mu     sync.Mutex
	sent   map[string]string
	ran    int
	broken int
}

func main() {
	kit.Main(func(d *kit.Deployment, trouble bool) int {
		r := &run{Deployment: d, trouble: trouble, sent: make(map[string]string)}
		return r.play()
	})
}

func route(name, prefix string) kit.Route {
	return kit.Route{Name: name, Prefix: prefix, Type: "non_idempotent", Service: "app", TimeoutMs: 4000, MaxAttempts: 2}
}

func (r *run) play() int {
	r.Store.Put("config", "main", kit.Config(1, nil, route("book", "/book/")))
	zones := []string{"qce-1", "qce-2", "qce-3"}
	var list []*kit.Worker
	for i := range workers {
		w := &kit.Worker{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: zones[i%3], Slots: 6, Run: r.answer}
		list = append(list, w)
	}
	if err := r.StartAll(list, zones); err != nil {
		r.Record("%v", err)
		return kit.NotRun
	}
	served := 0
	for n := range requests {
		if n == changeAt {
			r.Record("operator: version 2 acknowledged, adds a route with the prefix /: %v", r.trouble)
			routes := []kit.Route{route("book", "/book/")}
			if r.trouble {
				routes = append(routes, route("rest", "/"))
			}
			r.Store.Put("config", "main", kit.Config(2, nil, routes...))
			time.Sleep(2500 * time.Millisecond)
		}
		target := "/book/2f?stone=7"
		if n%3 == 2 {
			target = "//book/2f?stone=7"
		}
		id := fmt.Sprintf("r-%d", n)
		r.mu.Lock()
		r.sent[id] = target
		r.mu.Unlock()
		edge := r.Edges[n%len(r.Edges)]
		answer := edge.Send(kit.Attempt{ID: id, Method: http.MethodPost, Target: target, Body: id, Deadline: 4 * time.Second})
		r.Record("client: POST %s as %s by %s got %d, error %v", target, id, edge.Name, answer.Status, answer.Err)
		if answer.Status == http.StatusOK {
			served++
		}
	}
	r.Record("%d of %d requests served, %d run with another path", served, requests, r.broken)
	switch {
	case r.broken > 0:
		return kit.Broken
	case served < requests/2:
		return kit.NotRun
	}
	r.Record("UNASKED kept")
	return kit.Held
}

// answer runs a request and compares its target with the client's.
func (r *run) answer(w *kit.Worker, conn net.Conn, q *kit.Request) bool {
	r.Record("worker %s runs %s, request line %q", w.ID, q.ID, q.Line)
	fields := strings.Fields(q.Line)
	r.mu.Lock()
	sent := r.sent[q.ID]
	r.ran++
	if len(fields) != 3 || fields[1] != sent {
		r.broken++
		r.Record("UNASKED broken: worker %s runs %s with the path %s, sent as POST %s", w.ID, q.ID, q.URL.Path, sent)
	}
	r.mu.Unlock()
	return kit.Reply(conn, "200 OK", q, map[string]string{kit.Wire.Stamp: w.Stamp(q)}, "done")
}
