package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request is a request as a worker read it.
type Request struct {
	*http.Request
	// Line is the request line as it arrived.
	Line, ID string
	Body     []byte
	At       time.Time
}

// Worker is a worker of the platform: an engine if it has models, else an instance of a
// plain service.
type Worker struct {
	ID, Service, Zone, Address string
	Slots                      int
	Models                     []string
	// Reconnect is the time from the store's return after an outage until the worker writes
	// its entry again.
	Reconnect time.Duration
	// Run answers a request that the worker runs. It returns false to close the connection.
	Run func(w *Worker, conn net.Conn, r *Request) bool
	// Engine, unless nil, carries out orders for the worker; else Models are held and orders
	// rejected.
	Engine *Engine

	store    *Store
	listener net.Listener
	born     int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	down  bool
	beats int
	stop  chan struct{}
}

// Start listens on a loopback address and registers the worker in the store.
func (w *Worker) Start(store *Store) error {
	address := w.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.store, w.listener, w.Address = store, listener, listener.Addr().String()
	w.conns, w.stop, w.born = make(map[net.Conn]bool), make(chan struct{}), time.Now().UnixMilli()
	go w.accept()
	_ = w.beat("ready")
	go func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeat):
			}
			for !w.beat("ready") {
				for w.store.IsDown() {
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(w.Reconnect)
			}
		}
	}()
	return nil
}

// beat writes the worker's entry. It returns false if the store is down.
func (w *Worker) beat(state string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return true
	}
	w.beats++
	entry := map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": state,
		Wire.Cold: 0, "born": w.born, "stage": "unified", "models": w.models(),
	}
	if w.Engine != nil {
		entry["available"] = map[string][]string{"inMemory": {}, "onDisk": w.Engine.copies()}
	}
	return w.store.Beat(w.ID, entry, w.beats)
}

// Beat writes the worker's entry.
func (w *Worker) Beat() { _ = w.beat("ready") }

func (w *Worker) models() []map[string]any {
	if w.Engine != nil {
		return w.Engine.models()
	}
	list := []map[string]any{}
	for _, m := range w.Models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// Crash ends the worker: its listener and connections close at once. Its entry expires
// after three heartbeats.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.down = true
	close(w.stop)
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// Down reports whether the worker has crashed.
func (w *Worker) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.down {
			_ = conn.Close()
		}
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		first, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(first), reader)))
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r := &Request{Request: request, Line: strings.TrimSpace(first), ID: request.Header.Get(Wire.RequestID), Body: body, At: time.Now()}
		if !w.handle(conn, r) {
			return
		}
	}
}

func (w *Worker) handle(conn net.Conn, r *Request) bool {
	if expected := r.Header.Get(Wire.Instance); expected != "" && expected != w.ID {
		return Reply(conn, "421 Misdirected Request", r, map[string]string{"Instance-Id": w.ID, Wire.NotRun: "1"}, "")
	}
	if w.Engine != nil && (r.URL.Path == Wire.ReportPath || r.URL.Path == Wire.OrderPath) {
		return w.Engine.handle(w, conn, r)
	}
	switch r.URL.Path {
	case Wire.ReportPath:
		body, _ := json.Marshal(map[string]any{
			"stage": "unified", "models": w.models(), "busy": false, "sequence": 0, "queued": 0, "active": 0,
			"kvUsed": 0, "kvTotal": 90000, "handles": 0,
		})
		return Reply(conn, "200 OK", r, nil, string(body))
	case Wire.OrderPath:
		return Reply(conn, "409 Conflict", r, nil, "")
	}
	return w.Run(w, conn, r)
}

// Stamp returns the worker's signature of a response.
func (w *Worker) Stamp(r *Request) string { return w.ID + "." + r.ID }

// Reply writes a response with a length. It returns false if that failed.
func Reply(conn net.Conn, status string, r *Request, header map[string]string, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n", status, len(body))
	if r.ID != "" {
		text += Wire.RequestID + ": " + r.ID + "\r\n"
	}
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	_, err := io.WriteString(conn, text+"\r\n"+body)
	return err == nil
}

// Stream writes a response in chunks.
type Stream struct{ conn net.Conn }

// NewStream writes the head of a stream of events.
func NewStream(conn net.Conn, w *Worker, r *Request) (*Stream, error) {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		Wire.RequestID, r.ID, Wire.Stamp, w.Stamp(r))
	return &Stream{conn}, err
}

// Write writes one chunk.
func (s *Stream) Write(text string) error {
	_, err := fmt.Fprintf(s.conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// Close ends the stream.
func (s *Stream) Close() error {
	_, err := io.WriteString(s.conn, "0\r\n\r\n")
	return err
}
