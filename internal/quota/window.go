package quota

import "time"

// ring is the number of slots kept: one more than a window has, since the
// newest is not over yet.
const ring = slots + 1

// window sums tokens over a sliding length of time, and up to a slot more.
type window struct {
	slot time.Duration
	used [ring]float64
	// newest is the number of the slot that was last added to, counted from
	// the zero time.
	newest int64
}

func newWindow(length time.Duration) *window { return &window{slot: length / slots} }

func (w *window) number(now time.Time) int64 { return now.UnixNano() / int64(w.slot) }

// advance empties the slots that have left the window.
func (w *window) advance(now time.Time) {
	number := w.number(now)
	if number-w.newest >= ring {
		w.used = [ring]float64{}
		w.newest = number
		return
	}
	for w.newest < number {
		w.newest++
		w.used[w.newest%ring] = 0
	}
}

func (w *window) add(now time.Time, tokens float64) {
	w.advance(now)
	w.used[w.newest%ring] += tokens
}

// spread adds tokens that were used evenly over a time up to now; what was
// used before the window is left out.
func (w *window) spread(now time.Time, over time.Duration, tokens float64) {
	w.advance(now)
	slots := max(1, float64(over)/float64(w.slot))
	for i := int64(0); i < ring && float64(i) < slots; i++ {
		w.used[(w.newest-i+ring)%ring] += tokens / slots * min(1, slots-float64(i))
	}
}

// credit takes back tokens that were added but not used, from the oldest slots
// first: the sum is right at once, and never less than what was used
// afterwards, although the slot of the use is not known.
func (w *window) credit(now time.Time, tokens float64) {
	w.advance(now)
	for i := int64(1); i <= ring && tokens > 0; i++ {
		slot := &w.used[(w.newest+i)%ring]
		taken := min(tokens, *slot)
		*slot -= taken
		tokens -= taken
	}
}

func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	total := 0.0
	for _, used := range w.used {
		total += used
	}
	return total
}

// merge adds another window's use, slot by slot.
func (w *window) merge(now time.Time, other *window) {
	w.advance(now)
	other.advance(now)
	for i := range w.used {
		w.used[i] += other.used[i]
	}
}

// fill replaces the window's content by a use that was even over its length.
func (w *window) fill(now time.Time, total float64) {
	w.advance(now)
	for i := range w.used {
		w.used[i] = total / ring
	}
}

// freeIn returns how long it takes until as many tokens have left the window.
func (w *window) freeIn(now time.Time, tokens float64) time.Duration {
	w.advance(now)
	for i := int64(1); i <= ring; i++ {
		if tokens -= w.used[(w.newest+i)%ring]; tokens <= 0 {
			end := time.Unix(0, (w.newest+i)*int64(w.slot))
			return end.Sub(now)
		}
	}
	return time.Duration(ring) * w.slot
}
