package logsink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestWriteDoesNotBlockOnStalledReader writes more lines than the buffer holds
// while the output is not read. If Write blocked, a stalled reader of standard
// output would stop every goroutine that logs.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	reader, writer := io.Pipe() // a write blocks until it is read
	s := New(writer)
	const lines = 3 * capacity
	started := time.Now()
	for i := range lines {
		if _, err := fmt.Fprintf(s, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("writing %d lines took %v while the output was not read", lines, took)
	}
	if dropped := s.Dropped(); dropped < lines-capacity-1 || dropped > lines-capacity {
		t.Errorf("%d lines dropped of %d, want all but those in the buffer", dropped, lines)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	s.Close()
}

func TestLinesAreWrittenWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	line := []byte("first\n")
	_, _ = s.Write(line)
	copy(line, "XXXXX") // the caller may reuse its slice
	_, _ = s.Write([]byte("second\n"))
	s.Close()
	if got := out.String(); got != "first\nsecond\n" || strings.Contains(got, "X") {
		t.Errorf("got %q", got)
	}
}
