package detour

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Guards against a zone that is cut off whose hosts all ask the same peer, since their
// reports are equally old.
func TestHostsOfACutOffZoneSpreadOverThePeers(t *testing.T) {
	for _, size := range []struct{ cutOff, peers int }{{2, 4}, {5, 1}, {28, 57}, {60, 235}, {180, 190}} {
		t.Run(fmt.Sprintf("%d of %d", size.cutOff, size.cutOff+size.peers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(size.peers)))
			peers := make([]Peer, size.peers)
			for i := range peers {
				peers[i] = Peer{Name: fmt.Sprint("peer-", i), Zone: fmt.Sprint("z", 1+i%4)}
			}
			relayed := make(map[string]int)
			const perHost = 20
			for range size.cutOff {
				// The peers' reports do not change meanwhile.
				c := chooser{zone: "z0", outstanding: make(map[string]int), random: random.IntN}
				for range perHost {
					p, ok := c.choose(peers, Target{Zone: fmt.Sprint("z", 1+random.IntN(4))})
					if !ok {
						t.Fatal("no peer chosen")
					}
					c.outstanding[p.Name]++
					relayed[p.Name]++
				}
			}
			mean := float64(size.cutOff*perHost) / float64(size.peers)
			for name, n := range relayed {
				if float64(n) > 2*mean+10 {
					t.Errorf("%s relays %d connections, %.1f is the mean", name, n, mean)
				}
			}
		})
	}
}

// Guards against bytes between zones that a nearer peer would save.
func TestPeersOnTheWayArePreferred(t *testing.T) {
	c := chooser{zone: "z1", outstanding: make(map[string]int), random: rand.IntN}
	peers := []Peer{{Name: "near", Zone: "z1"}, {Name: "far", Zone: "z3"}}
	for range 20 {
		if p, _ := c.choose(peers, Target{Zone: "z1"}); p.Name != "near" {
			t.Fatalf("chose %s", p.Name)
		}
	}
	peers[0].Relaying = 50
	if p, _ := c.choose(peers, Target{Zone: "z1"}); p.Name != "far" {
		t.Fatalf("chose %s, which relays 50 connections", p.Name)
	}
}
