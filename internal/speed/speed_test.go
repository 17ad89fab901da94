package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The speeds of endpoints", func() {
	var (
		now       time.Time
		estimator *Estimator
		random    *rand.Rand
		endpoints []Endpoint
	)
	BeforeEach(func() {
		now, estimator, random = time.Unix(1_700_000_000, 0), New(), rand.New(rand.NewPCG(1, 2))
		endpoints = nil
		for i := range 8 {
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("e", i), Service: "s"})
		}
	})
	// observe records samples of a log-normal spread of 0.5 at one endpoint.
	observe := func(id, model string, millis float64, samples int) {
		for range samples {
			now = now.Add(10 * time.Millisecond)
			estimator.Observe(now, Sample{Service: "s", Model: model, Endpoint: id, Millis: millis * math.Exp(0.5*random.NormFloat64())})
		}
	}
	refresh := func() {
		for range 10 {
			now = now.Add(time.Second)
			estimator.Refresh(now, endpoints)
		}
	}

	It("finds a quarter of slow endpoints", func() {
		for i, e := range endpoints {
			observe(e.ID, "", []float64{110, 60, 60, 60}[i%4], 100)
		}
		refresh()
		for i, e := range endpoints {
			if i%4 == 0 {
				Expect(estimator.Slowness(e.ID)).To(BeNumerically("~", 1.83, 0.3), e.ID)
			} else {
				Expect(estimator.Slowness(e.ID)).To(Equal(1.0), e.ID)
			}
		}
	})

	// Guards against a changed choice in deployments whose endpoints are all alike.
	It("takes noise for no difference", func() {
		different := 0
		for range 500 {
			for _, e := range endpoints {
				observe(e.ID, "", 60, 1+random.IntN(4))
			}
			estimator.Refresh(now, endpoints)
			for _, e := range endpoints {
				if estimator.Slowness(e.ID) != 1 {
					different++
				}
			}
		}
		Expect(different).To(BeNumerically("<", 500*len(endpoints)/200))
	})

	// Guards against taking an endpoint for slow because it runs the slower model.
	It("compares endpoints at the same model", func() {
		for i, e := range endpoints {
			baseline := []float64{1.8, 1, 1, 1}[i%4]
			if i < 5 {
				observe(e.ID, "small", 30*baseline, 100)
			}
			if i >= 3 {
				observe(e.ID, "large", 300*baseline, 100)
			}
		}
		refresh()
		for i, e := range endpoints {
			if i%4 == 0 {
				Expect(estimator.Slowness(e.ID)).To(BeNumerically("~", 1.8, 0.35), e.ID)
			} else {
				Expect(estimator.Slowness(e.ID)).To(BeNumerically("~", 1, 0.2), e.ID)
			}
		}
	})

	It("learns from peers what few requests of its own don't show", func() {
		for _, e := range endpoints {
			observe(e.ID, "", 60, 1)
		}
		endpoints[0].PeerSum, endpoints[0].PeerSamples = 60*50, 50
		refresh()
		Expect(estimator.Slowness("e0")).To(BeNumerically("~", 1.8, 0.3))
		Expect(New().Slowness("e0")).To(Equal(1.0))
	})

	It("reports differences of its own measurements only", func() {
		for i, e := range endpoints {
			observe(e.ID, "", []float64{110, 60, 60, 60}[i%4], 100)
		}
		refresh()
		report, ok := estimator.Report("e0")
		Expect(ok).To(BeTrue())
		Expect(report.Hundredths).To(BeNumerically("~", 60, 15))
		Expect(report.Samples).To(BeNumerically("~", 90, 10))
		endpoints[1].PeerSum, endpoints[1].PeerSamples = 60*900, 900
		refresh()
		if report, ok = estimator.Report("e1"); ok {
			Expect(report.Hundredths).To(BeNumerically("<", 30), "a peer's measurement would return to it as another's")
		}
	})

	It("keeps the speed of an endpoint that returns under its ID, and forgets it in time", func() {
		for i, e := range endpoints {
			observe(e.ID, "", []float64{110, 60, 60, 60}[i%4], 100)
		}
		refresh()
		all := endpoints
		endpoints = all[1:]
		refresh()
		endpoints = all
		estimator.Refresh(now, endpoints)
		Expect(estimator.Slowness("e0")).To(BeNumerically("~", 1.83, 0.3))
		now = now.Add(10 * halfLife)
		refresh()
		Expect(estimator.Slowness("e0")).To(Equal(1.0))
		Expect(estimator.cells).To(BeEmpty())
		Expect(estimator.references).To(BeEmpty())
	})

	It("follows an endpoint whose speed changes, and ignores invalid times", func() {
		for _, e := range endpoints {
			observe(e.ID, "", 60, 100)
		}
		for _, millis := range []float64{0, -1, math.NaN(), math.Inf(1)} {
			estimator.Observe(now, Sample{Service: "s", Endpoint: "e0", Millis: millis})
		}
		refresh()
		Expect(estimator.Slowness("e0")).To(Equal(1.0))
		observe("e0", "", 120, 300)
		refresh()
		Expect(estimator.Slowness("e0")).To(BeNumerically(">", 1.6))
	})
})

func BenchmarkRefreshOf160(b *testing.B) {
	now, estimator := time.Unix(1_700_000_000, 0), New()
	var endpoints []Endpoint
	for i := range 160 {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, Endpoint{ID: id, Service: "s", PeerSum: i, PeerSamples: 3})
		for model := range 2 {
			estimator.Observe(now, Sample{Service: "s", Model: fmt.Sprint("m", model), Endpoint: id, Millis: float64(30 + i)})
		}
	}
	for b.Loop() {
		estimator.Refresh(now, endpoints)
	}
}
