package fleet

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/speed"
)

const (
	// speedRefreshInterval is how often the speeds of endpoints are computed from the
	// samples; the computation costs as much as some tens of choices.
	speedRefreshInterval = time.Second
	// slowdownDecay is the time constant with which the processing time that an endpoint
	// reports loses its weight.
	slowdownDecay = 200 * time.Millisecond
	// maxSlowdown bounds the reported processing time relative to normal.
	maxSlowdown = 20
	// stepGrowth is the relative growth of an engine's step with each running request.
	stepGrowth = 0.01
	// minPacedEvents is the smallest number of events from which the pace of a stream is
	// used as a sample. Events hold 4 to 9 tokens, so that the pace of fewer is too noisy.
	minPacedEvents = 8
	// maxBlocked is the fraction of a stream's duration in which its caller may keep the host
	// from reading on. Beyond it, the pace may be the caller's.
	maxBlocked = 0.1
	// slowSpeed is the speed relative to the service's median below which an endpoint is
	// reported as slow, and recoveredSpeed that from which it no longer is.
	slowSpeed, recoveredSpeed = 0.8, 0.85
)

// speeds holds the estimated speeds of the Registry's endpoints.
type speeds struct {
	estimator   *speed.Estimator
	refreshedAt time.Time
	// slow are the endpoints that are reported as slow, by ID.
	slow  map[string]bool
	gauge *prometheus.GaugeVec
}

func newSpeeds() speeds {
	return speeds{estimator: speed.New(), slow: make(map[string]bool), gauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bilberryslip_slow_endpoints",
		Help: "Listed endpoints whose speed is below 0.8 of the median of their service, by service.",
	}, []string{"service"})}
}

// pace is what an attempt measures of its endpoint's speed.
type pace struct {
	model string
	// startedAt is when the attempt started, respondedAt when its response did.
	startedAt, respondedAt time.Time
	// queued is set if other requests waited at the endpoint when the attempt started.
	queued bool
	// load is the load that the response reported; nil for none.
	load *Load
	// stream is set if the response is a stream.
	stream bool
}

// StreamPace describes the arrival of a stream's events.
type StreamPace struct {
	// Events is the number of events after those that came first, and Duration the time in
	// which they came.
	Events   int
	Duration time.Duration
	// Blocked is the part of Duration in which the caller did not accept data.
	Blocked time.Duration
}

// RecordStream records the pace of a complete stream. It must be called before Finish.
func (a *Attempt) RecordStream(stream StreamPace) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.pace.stream = true
	tooShort := stream.Events < minPacedEvents || stream.Duration <= 0
	if a.pace.model == "" || a.pace.load == nil || tooShort || stream.Blocked.Seconds() > maxBlocked*stream.Duration.Seconds() {
		return
	}
	// The reported processing time changes many times within a stream and is not part of
	// the normalisation.
	perEvent := stream.Duration.Seconds() * 1000 / float64(stream.Events)
	a.observe(perEvent / (1 + stepGrowth*float64(a.pace.load.Running)))
}

// recordServiceTime records the processing time of a plain service's response. Time in
// the endpoint's queue is no processing time, so that a request which may have waited
// there is left out. It must be called with the mutex held.
func (a *Attempt) recordServiceTime(outcome endpoint.Outcome) {
	p := &a.pace
	if outcome != endpoint.OutcomeAnswered || p.model != "" || p.stream || p.respondedAt.IsZero() {
		return
	}
	if p.load == nil || p.load.Waiting > 0 || p.queued {
		return
	}
	a.observe(p.respondedAt.Sub(p.startedAt).Seconds() * 1000 / p.load.slowdown())
}

func (a *Attempt) observe(millis float64) {
	a.registry.speeds.estimator.Observe(a.registry.config.Clock(), speed.Sample{
		Service: a.member.Service, Model: a.pace.model, Endpoint: a.member.ID, Millis: millis,
	})
}

// slowdown returns the reported processing time relative to normal; 1 if the endpoint
// doesn't report it.
func (l *Load) slowdown() float64 {
	if l.ProcessingTimePercent <= 0 {
		return 1
	}
	return max(1.0/maxSlowdown, min(l.ProcessingTimePercent/100, maxSlowdown))
}

// currentSlowdown returns the expected processing time relative to the endpoint's normal
// one: that of its last report while that is recent.
func (m *member) currentSlowdown(now time.Time) float64 {
	slowdown := m.load.slowdown()
	if slowdown == 1 {
		return 1
	}
	return 1 + (slowdown-1)*math.Exp(-now.Sub(m.loadAt).Seconds()/slowdownDecay.Seconds())
}

// refreshSpeeds computes the speeds of all endpoints if they are older than
// speedRefreshInterval. It must be called with the mutex held.
func (r *Registry) refreshSpeeds(now time.Time) {
	if now.Sub(r.speeds.refreshedAt) < speedRefreshInterval {
		return
	}
	r.speeds.refreshedAt = now
	endpoints := make([]speed.Endpoint, 0, len(r.members))
	for id, m := range r.members {
		if m.removedAt.IsZero() {
			peers := r.peerTotals[id]
			endpoints = append(endpoints, speed.Endpoint{ID: id, Service: m.Service, PeerSum: int(peers.speedSum), PeerSamples: int(peers.speedSamples)})
		}
	}
	r.speeds.estimator.Refresh(now, endpoints)
	r.reportSlow(endpoints)
}

// reportSlow logs which endpoints have become slow or no longer are, and counts the slow
// ones in the gauge.
func (r *Registry) reportSlow(endpoints []speed.Endpoint) {
	counts, slow := make(map[string]int), make(map[string]bool)
	for _, e := range endpoints {
		relative, was := 1/r.speeds.estimator.Slowness(e.ID), r.speeds.slow[e.ID]
		is := relative < slowSpeed || was && relative < recoveredSpeed
		counts[e.Service] += 0
		if is {
			slow[e.ID] = true
			counts[e.Service]++
		}
		if is == was {
			continue
		}
		event := "endpoint is slow"
		if !is {
			event = "endpoint is no longer slow"
		}
		logrus.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "speed": math.Round(relative*100) / 100}).Info(event)
	}
	r.speeds.slow = slow
	r.speeds.gauge.Reset()
	for service, count := range counts {
		r.speeds.gauge.WithLabelValues(service).Set(float64(count))
	}
}

// fillSpeed adds what this host has measured of an endpoint's speed to its load. It
// returns false if that is nothing that peers need.
func (r *Registry) fillSpeed(load *fleetv1.EndpointLoad) bool {
	report, ok := r.speeds.estimator.Report(load.GetEndpoint())
	if ok {
		load.SlownessHundredths, load.SpeedSamples = int32(report.Hundredths), int32(report.Samples)
	}
	return ok
}

// maxPeerSlowness and maxPeerSamples bound what one peer's measurement counts.
const maxPeerSlowness, maxPeerSamples = 300, 100

// addSpeed adds a peer's measurement of the endpoint's speed to its work there.
func (w *endpointWork) addSpeed(load *fleetv1.EndpointLoad) {
	w.speedSamples = max(0, min(load.GetSpeedSamples(), maxPeerSamples))
	w.speedSum = w.speedSamples * max(-maxPeerSlowness, min(load.GetSlownessHundredths(), maxPeerSlowness))
}
