package ratelimit

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberryslip.example/bilberryslip/internal/membership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestBucketWindows applies random sequences of operations to a bucket and checks
// that the tokens used in any time window stay within rate and burst.
func TestBucketWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		now := epoch
		f := newFleetAccount(Policy{Rate: 10, Burst: 100}, now)
		b.SetLimits(now, 10, 100)
		type open struct {
			grant *Grant
			at    time.Time
			used  float64
		}
		var running []*open
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
			},
			"take": func(t *rapid.T) {
				if grant, ok := b.Take(now, float64(rapid.IntRange(0, 100).Draw(t, "tokens"))); ok {
					running = append(running, &open{grant: grant, at: now})
				}
			},
			"share": func(t *rapid.T) {
				share := rapid.Float64Range(0, 1).Draw(t, "share")
				b.SetLimits(now, 10*share, 100*share)
			},
			"use": func(t *rapid.T) {
				for _, one := range running {
					part := one.grant.remaining * rapid.Float64Range(0, 1).Draw(t, "part")
					one.grant.Consume(part)
					one.used += part
				}
			},
			"release": func(t *rapid.T) {
				for _, one := range running {
					one.grant.Release(now, one.grant.remaining*rapid.Float64Range(0, 1).Draw(t, "part"))
				}
			},
			"settle": func(t *rapid.T) {
				if len(running) > 0 {
					running[0].grant.Settle(now)
					f.used = append(f.used, usage{running[0].at, running[0].used})
					running = running[1:]
				}
			},
			"": func(t *rapid.T) {
				if b.level+b.refundable > b.burst+tolerance && b.burst > 0 {
					t.Fatalf("level %v and refundable %v exceed the burst %v", b.level, b.refundable, b.burst)
				}
			},
		})
		for _, one := range running {
			f.used = append(f.used, usage{one.at, one.used + one.grant.remaining})
		}
		if worst := f.overshoot(); len(f.used) > 0 && worst > tolerance {
			t.Fatalf("a window exceeds its limit by %v tokens", worst)
		}
	})
}

func TestExcessMakesLevelNegative(t *testing.T) {
	g := NewWithT(t)
	var b Bucket
	b.SetLimits(epoch, 10, 100)
	b.Advance(epoch.Add(10 * time.Second))
	grant, ok := b.Take(epoch.Add(10*time.Second), 100)
	g.Expect(ok).To(BeTrue())
	g.Expect(grant.Consume(150)).To(Equal(50.0))
	g.Expect(b.Level()).To(Equal(-50.0))
	b.Advance(epoch.Add(14 * time.Second))
	g.Expect(b.Level()).To(Equal(-10.0))
}

func limiterWithAllUnits(now time.Time) *Limiter {
	self := membership.Host{Name: "a", Incarnation: "a1", Zone: "z"}
	l := NewLimiter(Config{}, self)
	l.SetPolicies(now, map[string]Policy{"o": {Rate: 100, Burst: 1000}})
	ledger := &Ledger{Entries: []Entry{{Incarnation: "a1", Units: TotalUnits, Floor: TotalUnits / 2, Reclaimers: []string{"b1", "c1"}}}}
	l.WithShareLease(now, func(lease *ShareLease) { lease.ObserveLedger(ledger, 1, now, now) })
	return l
}

// A replaced process must not add a burst: its bucket starts empty and fills at
// the rate of its units, and gaining units later does not raise the level.
func TestNewProcessStartsEmpty(t *testing.T) {
	g := NewWithT(t)
	l := limiterWithAllUnits(epoch)
	level := func(at time.Time) float64 { return l.BucketLevels(at)[0].Tokens }
	g.Expect(level(epoch)).To(BeZero())
	g.Expect(level(epoch.Add(2 * time.Second))).To(BeNumerically("~", 200, 1e-6))
	half := &Ledger{Entries: []Entry{{Incarnation: "a1", Units: TotalUnits / 2, Floor: TotalUnits / 4}}}
	at := epoch.Add(15 * time.Second)
	l.WithShareLease(at, func(lease *ShareLease) { lease.ObserveLedger(half, 2, at, at) })
	g.Expect(level(at)).To(BeNumerically("~", 500, 1e-6))
	whole := &Ledger{Entries: []Entry{{Incarnation: "a1", Units: TotalUnits, Floor: TotalUnits / 2}}}
	l.WithShareLease(at, func(lease *ShareLease) { lease.ObserveLedger(whole, 3, at, at) })
	g.Expect(level(at)).To(BeNumerically("~", 500, 1e-6))
}

func TestLentTokensStayUnderTheBurst(t *testing.T) {
	g := NewWithT(t)
	l := limiterWithAllUnits(epoch)
	at := epoch.Add(15 * time.Second)
	request := LoanRequest{ID: "1", Organisation: "o", Tokens: 600, Admit: time.Second}
	g.Expect(l.Lend(at, request)).To(BeNumerically("~", 600, 1e-6))
	g.Expect(l.Lend(at, request)).To(BeNumerically("~", 600, 1e-6), "a repeated request returns the same tokens")
	bucket := &l.accounts["o"].bucket
	bucket.Advance(at.Add(time.Second))
	g.Expect(bucket.Level()).To(BeNumerically("~", 400, 1e-6), "lent tokens count towards the burst until they are settled")
	for range 2 {
		l.Settle(at.Add(time.Second), Settlement{ID: "1", Unused: 300, Used: 100})
	}
	g.Expect(bucket.Level()).To(BeNumerically("~", 700, 1e-6), "a repeated report has no further effect")
	l.Settle(at.Add(time.Second), Settlement{ID: "1", Unused: 300, Used: 300, Final: true})
	l.Settle(at.Add(time.Second), Settlement{ID: "1", Unused: 600, Used: 0, Final: true})
	g.Expect(bucket.Level()).To(BeNumerically("~", 700, 1e-6))
	l.Settle(at.Add(time.Second), Settlement{ID: "2", Unused: 600, Final: true})
	g.Expect(l.Lend(at.Add(time.Second), LoanRequest{ID: "2", Organisation: "o", Tokens: 600, Admit: time.Second})).To(BeZero(), "the transfer was cancelled before its request arrived")
	g.Expect(l.Lend(at, LoanRequest{ID: "3", Organisation: "o", Tokens: math.NaN(), Admit: time.Second})).To(BeZero())
}

func TestShareLeaseRunsFromRequestSendTime(t *testing.T) {
	g := NewWithT(t)
	l := limiterWithAllUnits(epoch)
	seconds := func(n int) time.Time { return epoch.Add(time.Duration(n) * time.Second) }
	shareLease := l.shareLease
	g.Expect(shareLease.UsableUnitsAt(seconds(19))).To(Equal(TotalUnits))
	g.Expect(shareLease.UsableUnitsAt(seconds(20))).To(Equal(TotalUnits / 2))
	g.Expect(shareLease.UsableUnitsAt(epoch.Add(15 * time.Minute))).To(BeZero())

	// The responses arrive long after the requests, as after a process pause.
	// Leases and promises run from the time when the request was sent.
	shareLease.ObserveView("b1", PeerView{Version: 1, Age: 5 * time.Second, ReceiverUnits: TotalUnits}, seconds(12))
	g.Expect(shareLease.UsableUnitsAt(seconds(26))).To(Equal(TotalUnits))
	g.Expect(shareLease.UsableUnitsAt(seconds(27))).To(Equal(TotalUnits / 2))
	shareLease.ObserveView("b1", PeerView{Version: 1, Age: time.Hour, ReceiverUnits: TotalUnits, Promise: 10 * time.Second}, seconds(30))
	g.Expect(shareLease.UsableUnitsAt(seconds(39))).To(Equal(TotalUnits), "one reclaimer's promise is enough")
	g.Expect(shareLease.UsableUnitsAt(seconds(40))).To(Equal(TotalUnits / 2))
}

func TestReclaimerDoesNotConsentDuringPromise(t *testing.T) {
	g := NewWithT(t)
	self := membership.Host{Name: "b", Incarnation: "b1", Zone: "z"}
	shareLease := NewShareLease(LeaseConfig{}, self)
	ledger := &Ledger{Entries: []Entry{{Incarnation: "a1", Units: 100, Floor: 50, Reclaimers: []string{"b1"}}}}
	shareLease.ObserveLedger(ledger, 1, epoch, epoch)
	g.Expect(shareLease.ViewFor("a1", epoch).Promise).To(Equal(10 * time.Second))
	plan := func(second float64) *Edit {
		edit := shareLease.Plan(epoch.Add(time.Duration(second*float64(time.Second))), nil, 0, "m")
		if edit != nil {
			edit.Next.Remove("b1")
		}
		return edit
	}
	plan(0)
	g.Expect(plan(10).Next.Entry("a1").Mark).To(BeNil(), "the promise lasts on the clock of the host that gave it, including drift")
	edit := plan(10.2)
	g.Expect(edit.Next.Entry("a1").AllConsent()).To(BeTrue())
	shareLease.Begin(edit)
	edit.OutcomeUnknown = true
	g.Expect(shareLease.ViewFor("a1", epoch.Add(11*time.Second)).Promise).To(BeZero(), "the pending consent may have taken effect")
	shareLease.RecordWritten(edit, 2, epoch.Add(11*time.Second), epoch.Add(12*time.Second))
	g.Expect(plan(32).Next.Entry("a1").Units).To(BeEquivalentTo(100))
	g.Expect(plan(32.3).Next.Entry("a1").Units).To(BeEquivalentTo(50), "after the short lease")
	g.Expect(plan(60*15.4).Next.Entry("a1")).To(BeNil(), "after the floor lease")
	g.Expect(shareLease.ViewFor("a1", epoch.Add(time.Hour)).Promise).To(BeZero())
}
