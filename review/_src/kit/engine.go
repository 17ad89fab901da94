package kit

import (
	"encoding/json"
	"net"
	"slices"
	"sort"
	"sync"
	"time"
)

// Order is an order as an engine got it.
type Order struct {
	Operation, Model, Adapter, Holder string
	Precondition                      *int64
	// Instance is the worker that the order names as the one meant.
	Instance string
	At       time.Time
}

// Engine holds the models and adapters of a worker and carries out orders.
type Engine struct {
	// MemoryMB is the memory for weights, Size the size of each model in MB, Load the time of
	// a load from the worker's own disk.
	MemoryMB float64
	Size     map[string]float64
	Load     time.Duration
	// Disk lists the models whose weights lie on the worker's disk. A restart preserves it.
	Disk []string
	// Late, unless nil, reports whether an order gets no answer and is delivered later, and
	// after which time.
	Late func(o Order) (time.Duration, bool)
	// Deliver delivers a late order to the worker that has the address by then.
	Deliver func(o Order)
	// Log records what happens, OverCapacity is called if an order needs more memory than
	// there is.
	Log          func(format string, args ...any)
	OverCapacity func(o Order, held []string)

	mu       sync.Mutex
	held     map[string]map[string]bool
	sequence int64
	busy     bool
}

// NewEngine returns an engine that holds models.
func NewEngine(e *Engine, models ...string) *Engine {
	e.held = make(map[string]map[string]bool)
	for _, m := range models {
		e.held[m] = map[string]bool{}
	}
	return e
}

// Held returns the models held, sorted.
func (e *Engine) Held() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.names()
}

func (e *Engine) names() []string {
	var names []string
	for name := range e.held {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Holds reports whether a model and adapter are held.
func (e *Engine) Holds(model, adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.held[model]
	return ok && (adapter == "" || adapters[adapter])
}

// copies returns the models on the worker's disk.
func (e *Engine) copies() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.Disk)
}

func (e *Engine) models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []map[string]any{}
	for _, name := range e.names() {
		adapters := []string{}
		for adapter := range e.held[name] {
			adapters = append(adapters, adapter)
		}
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return list
}

func (e *Engine) handle(w *Worker, conn net.Conn, r *Request) bool {
	if r.URL.Path == Wire.ReportPath {
		models := e.models()
		e.mu.Lock()
		body, _ := json.Marshal(map[string]any{
			"stage": "unified", "models": models, "busy": e.busy, "sequence": e.sequence, "queued": 0, "active": 0,
			"kvUsed": 0, "kvTotal": 90000, "handles": 0, "pending": []string{},
		})
		e.mu.Unlock()
		return Reply(conn, "200 OK", r, nil, string(body))
	}
	o := Order{At: r.At, Instance: r.Header.Get(Wire.Instance)}
	if err := json.Unmarshal(r.Body, &o); err != nil || o.Holder == "" {
		return Reply(conn, "400 Bad Request", r, nil, "")
	}
	if e.Late != nil {
		if after, late := e.Late(o); late {
			e.Log("worker %s: order %s gets no answer and is delivered %v later", w.ID, o.text(), after)
			time.AfterFunc(after, func() { e.Deliver(o) })
			time.Sleep(2 * time.Second) // the sender gives up before
			return false
		}
	}
	return Reply(conn, e.Apply(w, o), r, nil, "")
}

func (o Order) text() string {
	text := o.Operation + " " + o.Model
	if o.Adapter != "" {
		text += "/" + o.Adapter
	}
	if o.Precondition != nil {
		raw, _ := json.Marshal(*o.Precondition)
		text += " after " + string(raw)
	}
	return text
}

// Apply carries out or rejects an order and returns the status of the answer.
func (e *Engine) Apply(w *Worker, o Order) string {
	status := e.apply(w, o)
	e.Log("worker %s: order %s by %s: %s", w.ID, o.text(), o.Holder, status)
	w.Beat()
	return status
}

func (e *Engine) apply(w *Worker, o Order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, held := e.held[o.Model]
	if o.Adapter != "" && !held {
		return "400 Bad Request"
	}
	if o.Adapter != "" {
		held = adapters[o.Adapter]
	}
	switch {
	case o.Instance != "" && o.Instance != w.ID:
		return "421 Misdirected Request"
	case held == (o.Operation == "load"):
		return "200 OK"
	case e.busy, o.Precondition != nil && *o.Precondition != e.sequence:
		return "409 Conflict"
	}
	e.sequence++
	switch {
	case o.Adapter != "" && o.Operation == "load":
		adapters[o.Adapter] = true
	case o.Adapter != "":
		delete(adapters, o.Adapter)
	case o.Operation == "unload":
		delete(e.held, o.Model)
	default:
		used := e.Size[o.Model]
		for name := range e.held {
			used += e.Size[name]
		}
		if used > e.MemoryMB {
			e.OverCapacity(o, e.names())
			return "202 Accepted"
		}
		e.busy = true
		time.AfterFunc(e.Load, func() {
			e.mu.Lock()
			e.held[o.Model], e.busy = map[string]bool{}, false
			if !slices.Contains(e.Disk, o.Model) {
				e.Disk = append(e.Disk, o.Model)
			}
			e.mu.Unlock()
			w.Beat()
		})
	}
	return "202 Accepted"
}

// Busy reports whether an order for a model is being carried out.
func (e *Engine) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.busy
}
