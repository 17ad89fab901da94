package edge

import (
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Peers tell again and again that they are ahead, while what this host follows
// answers late or not at all.
func TestLagTurnsToTheStore(t *testing.T) {
	start := time.Unix(0, 0)
	l := lag{patience: 100 * time.Millisecond}
	for _, c := range []struct {
		atMS             int
		covered, changed int64
		want             step
	}{
		{0, 5, 5, wait},
		{10, 5, 7, wait},          // the usual way may show it yet
		{60, 5, 7, wait},          //
		{110, 5, 7, listAgain},    // patience is over
		{150, 5, 8, wait},         //
		{215, 5, 8, listAgain},    // the list didn't help
		{320, 5, 8, listDirectly}, // nor did others
		{330, 5, 8, wait},         //
		{425, 5, 8, listDirectly},
		{430, 8, 8, wait}, // seen
		{800, 8, 9, wait}, // another change begins anew
		{910, 8, 9, listAgain},
	} {
		now := start.Add(time.Duration(c.atMS) * time.Millisecond)
		if got := l.heard(now, objectstore.Version(c.covered), objectstore.Version(c.changed)); got != c.want {
			t.Errorf("at %d ms: %d, want %d", c.atMS, got, c.want)
		}
	}
}
