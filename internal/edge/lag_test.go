package edge

import (
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Guards against a host that stays behind because its source responds late or
// not at all: peers repeatedly report newer versions, and the host must turn to
// another source and then to the store.
func TestLagTurnsToTheStore(t *testing.T) {
	start := time.Unix(0, 0)
	l := lag{tolerance: 100 * time.Millisecond}
	for _, c := range []struct {
		atMS             int
		covered, changed int64
		want             step
	}{
		{0, 5, 5, keepWaiting},
		{10, 5, 7, keepWaiting},      // the regular source may still show it
		{60, 5, 7, keepWaiting},      //
		{110, 5, 7, relist},          // tolerance exceeded
		{150, 5, 8, keepWaiting},     //
		{215, 5, 8, relist},          // the list did not show it
		{320, 5, 8, relistFromStore}, // nor did further lists
		{330, 5, 8, keepWaiting},     //
		{425, 5, 8, relistFromStore},
		{430, 8, 8, keepWaiting}, // seen
		{800, 8, 9, keepWaiting}, // another change starts a new lag
		{910, 8, 9, relist},
	} {
		now := start.Add(time.Duration(c.atMS) * time.Millisecond)
		if got := l.observe(now, objectstore.Version(c.covered), objectstore.Version(c.changed)); got != c.want {
			t.Errorf("at %d ms: %d, want %d", c.atMS, got, c.want)
		}
	}
}
