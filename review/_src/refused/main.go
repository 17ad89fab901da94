// Command refused shows what a caller learns of a booking that a worker ran before it
// answered 503 without saying that it did not run it.
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
	// perSecond is the rate of bookings, length the time for which they are sent.
	perSecond, length = 9, 12 * time.Second
	// troubleFrom and troubleFor bound the time in which the workers fail failShare of their
	// requests.
	troubleFrom, troubleFor = 4 * time.Second, 4 * time.Second
	failShare               = 0.45
	work                    = 30 * time.Millisecond
)

// run is the state that the workers and clients share.
type run struct {
	*kit.Deployment
	trouble bool
	started time.Time

	mu       sync.Mutex
	ran      map[string]bool
	bookings map[string]int
	handled  int
	failed   int
	served   int
	broken   int
}

func main() {
	kit.Main(func(d *kit.Deployment, trouble bool) int {
		r := &run{Deployment: d, trouble: trouble, ran: make(map[string]bool), bookings: make(map[string]int)}
		return r.play()
	})
}

func (r *run) play() int {
	r.Store.Put("config", "main", kit.Config(1, nil, kit.Route{
		Name: "deposit-book", Prefix: "/book/", Type: "non_idempotent", Service: "app", TimeoutMs: 4000, MaxAttempts: 2,
	}))
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
	r.started = time.Now()
	var group sync.WaitGroup
	total := int(length.Seconds() * perSecond)
	for n := range total {
		group.Go(func() { r.book(n) })
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
	doubled := 0
	for booking, runs := range r.bookings {
		if runs > 1 {
			doubled++
			r.Record("booking %s ran %d times, each time for another attempt of its client", booking, runs)
		}
	}
	r.Record("%d bookings, %d served, %d runs answered 503 without %s, %d attempts answered 503 though they ran, %d bookings made twice",
		total, r.served, r.failed, kit.Wire.NotRun, r.broken, doubled)
	switch {
	case r.broken > 0:
		return kit.Broken
	case r.served < total/2 || r.trouble && r.failed == 0:
		return kit.NotRun
	}
	r.Record("REFUSED kept")
	return kit.Held
}

// answer runs a booking. In the time of trouble it then fails to confirm a share of them.
func (r *run) answer(w *kit.Worker, conn net.Conn, q *kit.Request) bool {
	r.mu.Lock()
	r.ran[q.ID] = true
	r.bookings[string(q.Body)]++
	since := time.Since(r.started)
	inTrouble := r.trouble && since >= troubleFrom && since < troubleFrom+troubleFor
	fails := false
	if inTrouble {
		before := int(failShare * float64(r.handled))
		r.handled++
		fails = int(failShare*float64(r.handled)) > before
	}
	if fails {
		r.failed++
	}
	r.mu.Unlock()
	time.Sleep(work)
	status := "200 OK"
	if fails {
		status = "503 Service Unavailable"
	}
	r.Record("worker %s ran %s (%s) and answers %s", w.ID, q.ID, q.Body, status)
	return kit.Reply(conn, status, q, map[string]string{kit.Wire.Stamp: w.Stamp(q)}, "booking "+string(q.Body))
}

// book makes a booking as a client does: one more attempt after a promise that the first
// did not run.
func (r *run) book(n int) {
	booking := fmt.Sprintf("booking-%d", n)
	for attempt := range 2 {
		id := fmt.Sprintf("%s-%d", booking, attempt)
		edge := r.Edges[(n+attempt)%len(r.Edges)]
		answer := edge.Send(kit.Attempt{ID: id, Method: http.MethodPost, Target: "/book/2f", Body: booking, Deadline: 4 * time.Second})
		r.Record("client: %s by %s got %d, signed %q, error %v", id, edge.Name, answer.Status, answer.Header.Get(kit.Wire.Stamp), answer.Err)
		r.mu.Lock()
		promise := answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests
		if promise && r.ran[id] {
			r.broken++
			r.Record("REFUSED broken: %s was answered %d and has run", id, answer.Status)
		}
		if answer.Err == nil && answer.Status == http.StatusOK {
			r.served++
		}
		r.mu.Unlock()
		if !promise {
			return
		}
	}
}
