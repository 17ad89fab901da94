package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestStopLosesNoRequest guards against requests that are handled, or of which a part was
// received before the listener closed, and that have no answer. Callers send some requests in
// parts and some in pairs, and use their connections until an answer says that they close.
func TestStopLosesNoRequest(t *testing.T) {
	const (
		callers = 100
		pause   = 5 * time.Millisecond
	)
	var handled, answered sync.Map
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var shutdown announcedShutdown
	server := New(Config{
		Shutdown: &shutdown,
		Name:     t.Name(), Listener: listener, Idle: func() time.Duration { return time.Minute },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Store(r.URL.Path, true)
			time.Sleep(rand.N(pause))
			_, _ = io.WriteString(w, r.URL.Path)
		}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		closing  time.Time
		unserved []string
	)
	for caller := range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() {
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			reader := bufio.NewReader(conn)
			for i := 0; ; i++ {
				time.Sleep(rand.N(pause))
				paths := []string{fmt.Sprintf("/%d/%d/a", caller, i), fmt.Sprintf("/%d/%d/b", caller, i)}[:1+rand.N(2)]
				text := ""
				for _, path := range paths {
					text += "POST " + path + " HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nhello"
				}
				split := 1 + rand.N(len(text)-1)
				if split == len(text)/2 {
					split++ // the first of a pair may be answered before any byte of the second is sent
				}
				_, _ = io.WriteString(conn, text[:split])
				began := time.Now()
				time.Sleep(rand.N(pause))
				_, _ = io.WriteString(conn, text[split:])
				for _, path := range paths {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						mu.Lock()
						if closing.IsZero() || began.Before(closing) {
							unserved = append(unserved, fmt.Sprintf("%s: %v", path, err))
						}
						mu.Unlock()
						return
					}
					body, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if err == nil && string(body) == path {
						answered.Store(path, true)
					}
					if response.Close {
						return
					}
				}
			}
		})
	}
	time.Sleep(20 * pause)
	shutdown.lastAnswers.Store(true)
	time.Sleep(pause / 2)
	mu.Lock()
	closing = time.Now()
	mu.Unlock()
	server.stop(ctx)
	group.Wait()
	lost := 0
	handled.Range(func(path, _ any) bool {
		if _, ok := answered.Load(path); !ok {
			lost++
		}
		return true
	})
	if lost > 0 || len(unserved) > 0 {
		t.Errorf("%d requests were handled and not answered; not served: %d, %.5v", lost, len(unserved), unserved)
	}
}

// announcedShutdown is a shutdown in which responses say that their connection closes once
// lastAnswers is set.
type announcedShutdown struct{ lastAnswers atomic.Bool }

func (s *announcedShutdown) LastAnswers() bool              { return s.lastAnswers.Load() }
func (s *announcedShutdown) ClosesQuiet() bool              { return false }
func (s *announcedShutdown) Elapsed() (time.Duration, bool) { return 0, s.LastAnswers() }
