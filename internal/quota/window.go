package quota

import "time"

// window sums tokens over a sliding length of time.
type window struct {
	slot time.Duration
	used [slots]float64
	// newest is the number of the slot that was last added to, counted from
	// the zero time.
	newest int64
}

func newWindow(length time.Duration) window { return window{slot: length / slots} }

func (w *window) number(now time.Time) int64 { return now.UnixNano() / int64(w.slot) }

// advance empties the slots that have left the window.
func (w *window) advance(now time.Time) {
	number := w.number(now)
	if number-w.newest >= slots {
		w.used = [slots]float64{}
		w.newest = number
		return
	}
	for w.newest < number {
		w.newest++
		w.used[w.newest%slots] = 0
	}
}

func (w *window) add(now time.Time, tokens float64) {
	w.advance(now)
	w.used[w.newest%slots] += tokens
}

func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	total := 0.0
	for _, used := range w.used {
		total += used
	}
	return total
}

// fill replaces the window's content by a use that was even over its length.
func (w *window) fill(now time.Time, total float64) {
	w.advance(now)
	for i := range w.used {
		w.used[i] = total / slots
	}
}
