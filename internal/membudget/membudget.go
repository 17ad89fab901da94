// Package membudget bounds the memory of the request bodies that a host holds at the same
// time.
package membudget

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// SmallBody is the size in bytes up to which a body is small. Small bodies may use the
	// whole budget, larger ones all but smallShare of it.
	SmallBody  = 64 << 10
	smallShare = 0.25
	// piece is the size in bytes of the pieces in which a body of unknown length is read
	// and charged.
	piece = 64 << 10
	// unlimited is the budget without a limit.
	unlimited = 1 << 62
)

// Budget bounds the bytes of the bodies that are held. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	gauge   prometheus.GaugeFunc
	refused *prometheus.CounterVec
}

// New returns a budget of limit bytes; zero means no limit.
func New(limit int64) *Budget {
	if limit <= 0 {
		limit = unlimited
	}
	b := &Budget{limit: limit, refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberryslip_bodies_refused_total",
		Help: "Requests refused because the bodies held use the memory that they may, by size.",
	}, []string{"size"})}
	b.gauge = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberryslip_body_bytes",
		Help: "Memory of the request bodies that are held, in bytes.",
	}, func() float64 { return float64(b.Used()) })
	return b
}

// Collectors returns the metrics.
func (b *Budget) Collectors() []prometheus.Collector {
	return []prometheus.Collector{b.gauge, b.refused}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// ExceededError means that a body was refused, or not read to its end, because the bodies
// that are held use the budget.
type ExceededError struct {
	Used, Limit int64
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("request bodies use %d of the %d bytes of memory that they may; send the request again later, send smaller bodies, or give the host more memory", e.Used, e.Limit)
}

// Body is a body that was read and counts against a budget.
type Body struct {
	Data   []byte
	budget *Budget
	taken  int64
}

// Release returns the body's memory to the budget. It may be called more than once.
func (b *Body) Release() {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.used -= b.taken
	b.taken = 0
}

// Read reads a body of the given length, or of unknown length if that is negative. Nothing
// is read if the length is known and exceeds the budget; the error is an *ExceededError. The
// caller must call Release once it no longer holds the body.
func (b *Budget) Read(from io.Reader, length int64) (*Body, error) {
	body := &Body{budget: b}
	if length >= 0 {
		if err := body.take(length, length); err != nil {
			return nil, err
		}
		body.Data = make([]byte, length)
		if _, err := io.ReadFull(from, body.Data); err != nil {
			body.Release()
			return nil, err
		}
		return body, nil
	}
	if err := body.readPieces(from); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// readPieces reads a body of unknown length and charges each piece once it was read.
func (b *Body) readPieces(from io.Reader) error {
	var buffer bytes.Buffer
	for {
		_, err := io.CopyN(&buffer, from, piece)
		if exceeded := b.take(int64(buffer.Cap())-b.taken, int64(buffer.Len())); exceeded != nil {
			return exceeded
		}
		if errors.Is(err, io.EOF) {
			b.Data = buffer.Bytes()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// take charges n bytes of a body that is known to have size bytes so far.
func (b *Body) take(n, size int64) error {
	budget := b.budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	limit, label := budget.limit, "small"
	if size > SmallBody {
		limit, label = int64((1-smallShare)*float64(budget.limit)), "large"
	}
	if budget.used+n > limit {
		budget.refused.WithLabelValues(label).Inc()
		return &ExceededError{Used: budget.used, Limit: limit}
	}
	budget.used += n
	b.taken += n
	return nil
}
