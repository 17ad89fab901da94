package quota

import "time"

// ring is the number of slots kept: one more than a window has, since the
// newest slot is still being filled.
const ring = slots + 1

// window sums tokens over a sliding window of the given length plus up to one
// slot.
type window struct {
	slot time.Duration
	used [ring]float64
	// newest is the number of the newest slot, counted from the Unix epoch.
	newest int64
}

func newWindow(length time.Duration) *window { return &window{slot: length / slots} }

func (w *window) slotNumber(now time.Time) int64 { return now.UnixNano() / int64(w.slot) }

// advance clears the slots that have left the window.
func (w *window) advance(now time.Time) {
	number := w.slotNumber(now)
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

// spread adds tokens that were used evenly over the period up to now, without
// those used before the window.
func (w *window) spread(now time.Time, period time.Duration, tokens float64) {
	w.advance(now)
	covered := max(1, float64(period)/float64(w.slot))
	for i := int64(0); i < ring && float64(i) < covered; i++ {
		w.used[(w.newest-i+ring)%ring] += tokens / covered * min(1, covered-float64(i))
	}
}

// credit subtracts tokens that were added but not used. The slot of the use is
// not known, so the oldest slots are credited first: the sum is right at once
// and never less than the use since then.
func (w *window) credit(now time.Time, tokens float64) {
	w.advance(now)
	for i := int64(1); i <= ring && tokens > 0; i++ {
		slot := &w.used[(w.newest+i)%ring]
		credited := min(tokens, *slot)
		*slot -= credited
		tokens -= credited
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

// merge adds a part of another window's use, slot by slot.
func (w *window) merge(now time.Time, other *window, part float64) {
	w.advance(now)
	other.advance(now)
	for i := range w.used {
		w.used[i] += part * other.used[i]
	}
}

// fill replaces the content by a total that was used evenly over the window.
func (w *window) fill(now time.Time, total float64) {
	w.advance(now)
	for i := range w.used {
		w.used[i] = total / ring
	}
}

// freeIn returns the time until the given number of tokens has left the
// window.
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
