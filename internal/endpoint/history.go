package endpoint

import "time"

// historyLength is how far back the history of in-flight requests reaches. A
// report with a larger age can't be corrected exactly.
const historyLength = 10 * time.Second

type sample struct {
	at       time.Time
	inFlight int
}

// history records the number of this host's in-flight requests over time.
type history struct {
	samples []sample
}

func (h *history) add(now time.Time, inFlight int) {
	h.samples = append(h.samples, sample{now, inFlight})
	oldest := now.Add(-historyLength)
	drop := 0
	for drop < len(h.samples)-1 && h.samples[drop+1].at.Before(oldest) {
		drop++
	}
	if drop > len(h.samples)/2 {
		h.samples = append([]sample(nil), h.samples[drop:]...)
	}
}

// at returns the number of in-flight requests at a time in the past, or zero if
// the history does not reach back that far.
func (h *history) at(when time.Time) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(when) {
			return h.samples[i].inFlight
		}
	}
	return 0
}
