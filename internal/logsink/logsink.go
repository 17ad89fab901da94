// Package logsink writes log lines without ever blocking the writer: lines
// beyond a bounded buffer are dropped and counted.
package logsink

import (
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// capacity is the number of lines that may wait; at 300 bytes a line they
// take about 1.2 MB.
const capacity = 4096

// Sink is an io.Writer in front of a slower one.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go s.drain(out)
	return s
}

// Write implements io.Writer. It never fails: a line for which there is no
// room is dropped.
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

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits. Nothing may be written afterwards.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

// Collector returns the count of dropped lines.
func (s *Sink) Collector() prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bilberryslip_log_lines_dropped_total",
		Help: "Log lines dropped because standard output was not read fast enough.",
	}, func() float64 { return float64(s.Dropped()) })
}
