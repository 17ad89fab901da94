package decay

import (
	"math"
	"testing"
	"time"
)

func TestSum(t *testing.T) {
	const window = 2 * time.Second
	start := time.Unix(1_700_000_000, 0)
	s := NewSum(window)
	if got := s.PerSecond(start); got != 0 {
		t.Errorf("empty: %v", got)
	}
	s.Add(start, 100)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 100}, {window, 100 / math.E}, {-time.Hour, 100}, {time.Hour, 0}} {
		if got := s.Value(start.Add(c.after)); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
	if got := s.PerSecond(start); got != 50 {
		t.Errorf("%v a second, want 50", got)
	}
	s.Add(start, -300)
	if got := s.Value(start); got != 0 {
		t.Errorf("after subtracting more than the sum: %v, want 0", got)
	}
}
