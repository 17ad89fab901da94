// Command resume shows what a caller receives of a resumable stream whose workers crash
// one after the other, the second one before its first event.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/review/_src/kit"
)

const (
	workers = 9
	streams = 12
	// troubled is the stream whose workers crash.
	troubled = 6
	events   = 13
	// crashAfter is the event after which the first worker crashes.
	crashAfter = 5
	// prefill is the time in which an engine reads a prompt of 9,190 tokens, pause that
	// between two events.
	prefill, pause = 240 * time.Millisecond, 40 * time.Millisecond
)

// run is the state that the workers share.
type run struct {
	*kit.Deployment
	trouble bool

	mu      sync.Mutex
	crashes int
}

func main() {
	kit.Main(func(d *kit.Deployment, trouble bool) int {
		r := &run{Deployment: d, trouble: trouble}
		return r.play()
	})
}

func (r *run) play() int {
	r.Store.Put("config", "main", kit.Config(1, []string{"m0"}, kit.Route{
		Name: "batch-draft", Prefix: "/batch/", Type: "streaming", Service: "llm", TimeoutMs: 12000, MaxAttempts: 3, Resumable: true,
	}))
	zones := []string{"qce-1", "qce-2", "qce-3"}
	var list []*kit.Worker
	for i := range workers {
		w := &kit.Worker{ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: zones[i%3], Slots: 64, Models: []string{"m0"}, Run: r.answer}
		list = append(list, w)
	}
	if err := r.StartAll(list, zones); err != nil {
		r.Record("%v", err)
		return kit.NotRun
	}
	broken, whole := false, 0
	for n := 1; n <= streams; n++ {
		ids, complete, err := r.send(n)
		r.Record("client: stream %d ended, complete %v, error %v, events %v", n, complete, err, ids)
		for i, id := range ids {
			if id != i+1 {
				r.Record("ORDER broken: event %d of stream %d has the id %d", i+1, n, id)
				broken = true
				break
			}
		}
		if complete && len(ids) < events {
			r.Record("ORDER broken: stream %d ends as complete with %d events of %d", n, len(ids), events)
			broken = true
		}
		if complete && len(ids) == events {
			whole++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case broken:
		return kit.Broken
	case whole < streams-1 || r.trouble && r.crashes != 2:
		r.Record("the case did not run: %d streams whole, %d crashes", whole, r.crashes)
		return kit.NotRun
	}
	r.Record("ORDER kept")
	return kit.Held
}

// answer serves a stream: a comment as the first line, as servers of event streams send to
// keep the connection open, then, once the prompt is read, the events after the last one that the
// request names.
func (r *run) answer(w *kit.Worker, conn net.Conn, q *kit.Request) bool {
	after, _ := strconv.Atoi(q.Header.Get(kit.Wire.LastEvent))
	r.Record("worker %s runs %s, last event %q", w.ID, q.ID, q.Header.Get(kit.Wire.LastEvent))
	stream, err := kit.NewStream(conn, w, q)
	if err != nil {
		return false
	}
	if stream.Write(": reading the prompt\n\n") != nil {
		return false
	}
	r.mu.Lock()
	inTrouble := r.trouble && q.ID == fmt.Sprintf("stream-%d", troubled)
	second := inTrouble && r.crashes == 1
	if second {
		r.crashes++
	}
	r.mu.Unlock()
	if second {
		time.Sleep(prefill / 2)
		r.Record("worker %s crashes while it reads the prompt", w.ID)
		w.Crash()
		return false
	}
	time.Sleep(prefill)
	for n := after + 1; n <= events; n++ {
		if stream.Write(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, q.ID)) != nil {
			return false
		}
		time.Sleep(pause)
		r.mu.Lock()
		first := inTrouble && r.crashes == 0 && n == crashAfter
		if first {
			r.crashes++
		}
		r.mu.Unlock()
		if first {
			r.Record("worker %s crashes after event %d", w.ID, n)
			w.Crash()
			return false
		}
	}
	return stream.Close() == nil
}

// send sends one request and returns the ids of the events received, and whether the
// response ended as a complete one.
func (r *run) send(n int) (ids []int, complete bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	edge := r.Edges[n%len(r.Edges)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.Callers+"/batch/draft", strings.NewReader("a prompt"))
	if err != nil {
		return nil, false, err
	}
	request.Host = kit.HostName
	for name, value := range map[string]string{
		kit.Wire.RequestID: fmt.Sprintf("stream-%d", n), kit.Wire.Deadline: "6000", kit.Wire.Key: kit.APIKey, kit.Wire.Model: "m0",
		kit.Wire.Tokens: "9190,52", kit.Wire.Prefix: fmt.Sprintf("aa:6300,%x:2890", n),
	} {
		request.Header.Set(name, value)
	}
	r.Record("client: stream %d sent to %s", n, edge.Name)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status %d", response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			id, _ := strconv.Atoi(text)
			ids = append(ids, id)
		}
	}
	return ids, scanner.Err() == nil, scanner.Err()
}
