// Package logsink writes log lines without blocking the caller: lines that do
// not fit into a bounded buffer are dropped and counted.
package logsink

import (
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// capacity is the maximum number of buffered lines, which take about 1.2 MB at
// 300 bytes a line.
const capacity = 4096

// Sink is an io.Writer that buffers lines for a slower writer. The data of each
// call of Write is written or dropped as a whole. It is safe for concurrent use,
// except for Close.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a Sink that writes to out, in a goroutine that ends on Close.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go s.drain(out)
	return s
}

// Write implements io.Writer. It neither blocks nor fails: if the buffer is
// full, it drops the line. The caller may reuse the slice.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) drain(out io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		if _, err := out.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
}

// Dropped returns the number of lines dropped because the buffer was full or the
// writer failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the buffered lines and returns when they are written. Write must
// not be called during or after Close.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

// Collector returns the metric that counts dropped lines, for registration.
func (s *Sink) Collector() prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bilberryslip_log_lines_dropped_total",
		Help: "Log lines dropped because standard output was not read fast enough.",
	}, func() float64 { return float64(s.Dropped()) })
}
