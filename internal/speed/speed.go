// Package speed estimates how fast the endpoints of a service are relative to each other,
// from the processing times of their requests. It does no I/O and reads no clock.
//
// A processing time is the product of the endpoint's slowness and of a reference time of
// the service and model, so that an endpoint is compared with the others at the same model.
// All estimates are natural logarithms, in which the product is a sum.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which a sample's weight has halved. Baseline speeds change
	// with the machine, not with the load.
	halfLife = 2 * time.Minute
	// maxWeight bounds the weight of an endpoint's samples at one model, so that a change of
	// its speed is followed within as many samples.
	maxWeight = 100
	// minWeight is the weight below which samples are forgotten.
	minWeight = 0.1
	// priorVariance is the variance of the logarithms of endpoints' speeds that is assumed
	// before any sample. It draws estimates from few samples to the median.
	priorVariance = 0.1
	// maxResidual bounds the influence of one sample, such as a request that failed at once
	// or hung, in natural logarithm.
	maxResidual = 1
	// assumedVariance is the variance of a sample's logarithm until it is measured: that of
	// a log-normal spread of 0.5. assumedStreamVariance is that at a model, whose samples are
	// means over a stream and thus vary less.
	assumedVariance, assumedStreamVariance = 0.25, 0.02
	// assumedResiduals is the weight of the assumed variance, in samples.
	assumedResiduals = 10
	// varianceRate is the smallest weight of a new sample in the measured variance.
	varianceRate = 0.02
	// minDifference is the smallest difference to the median that counts, in natural
	// logarithm: endpoints of 0.8 to 1.25 of its speed are equal. With 0.1, alike endpoints
	// differed for seconds, since samples under the same load are not independent.
	minDifference = 0.22
	// minSamples is the smallest weight of samples from which an endpoint may differ.
	minSamples = 8
	// minStreak is the number of Refreshes in a row for which an endpoint has to differ. Cache
	// misses and bursts slow the requests of a few seconds at one endpoint.
	minStreak = 4
	// minReported is the smallest difference to the median that is reported.
	minReported = 0.1
	// significance is the number of standard errors by which an endpoint has to differ from
	// the median, so that noise does not change the choice among equal endpoints. With 3, about
	// 1 in 100 of equal endpoints differed, since their median is an estimate too.
	significance = 5
	// reportSignificance is the number of standard errors by which an endpoint has to differ
	// from the median to be reported. It is lower than significance, since peers combine the
	// samples of several hosts.
	reportSignificance = 2
	// iterations is the number of times that references and endpoints are adjusted to each
	// other in a Refresh. Each Refresh starts from the result of the last.
	iterations = 2
	// maxLog bounds the slowness of an endpoint, in natural logarithm: a factor of 20.
	maxLog = 3
)

// Sample is the processing time of one request.
type Sample struct {
	Service, Model, Endpoint string
	// Millis is the processing time for a unit of work, in milliseconds. Samples that are not
	// positive are ignored.
	Millis float64
}

// Endpoint is an endpoint whose speed is estimated, with what peers have measured.
type Endpoint struct {
	ID, Service string
	// PeerSum is the sum over peers of Measurement.Hundredths, each multiplied by its Samples,
	// and PeerSamples the sum of the latter.
	PeerSum, PeerSamples int
}

// Measurement is what this host has measured of one endpoint.
type Measurement struct {
	// Hundredths is the natural logarithm of the endpoint's processing time relative to the
	// median of the service's endpoints, in hundredths.
	Hundredths int
	// Samples is the weight of the measurement.
	Samples int
}

// workload is what processing times depend on besides the endpoint.
type workload struct{ service, model string }

type cellKey struct {
	workload
	endpoint string
}

// cell is the mean of the logarithms of an endpoint's samples of one workload.
type cell struct {
	mean, weight float64
	at           time.Time
}

// reference is a workload's processing time at an endpoint of median speed.
type reference struct {
	log, variance float64
	// residuals is the number of samples that variance was measured from.
	residuals float64
	// sum and weight accumulate in a Refresh.
	sum, weight float64
}

// estimate is the estimated speed of an endpoint.
type estimate struct {
	// own is the logarithm of the slowness by this host's samples, log that with the peers'
	// samples, both relative to the median.
	own, ownWeight float64
	log, weight    float64
	// variance is the variance of one of the samples.
	variance float64
	// slowness is the factor that the choice of an endpoint uses: exactly 1 unless the
	// difference is significant.
	slowness float64
	// streak is the number of Refreshes in a row with such a difference.
	streak int
	// sum and varianceSum accumulate in a Refresh.
	sum, varianceSum float64
}

// Estimator estimates the speeds of endpoints. It is not safe for concurrent use.
type Estimator struct {
	cells      map[cellKey]*cell
	references map[workload]*reference
	estimates  map[string]*estimate
}

// New returns an Estimator to which all endpoints are equal.
func New() *Estimator {
	return &Estimator{
		cells: make(map[cellKey]*cell), references: make(map[workload]*reference), estimates: make(map[string]*estimate),
	}
}

// Observe records a sample. It has an effect on Slowness from the next Refresh on.
func (e *Estimator) Observe(now time.Time, sample Sample) {
	if !(sample.Millis > 0) || math.IsInf(sample.Millis, 0) {
		return
	}
	key := cellKey{workload{sample.Service, sample.Model}, sample.Endpoint}
	c, ok := e.cells[key]
	if !ok {
		c = &cell{at: now}
		e.cells[key] = c
	}
	c.age(now)
	residual := math.Log(sample.Millis) - c.mean
	if c.weight >= 0.5 {
		residual = max(-maxResidual, min(residual, maxResidual))
		ref := e.reference(key.workload)
		ref.residuals++
		// The residual has the variance of the sample and of the mean of the earlier ones.
		ref.variance += max(varianceRate, 1/(ref.residuals+assumedResiduals)) * (residual*residual*c.weight/(c.weight+1) - ref.variance)
	}
	c.weight = min(c.weight, maxWeight-1) + 1
	c.mean += residual / c.weight
}

// age lets the weight of the samples decay.
func (c *cell) age(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		c.weight *= math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	}
	c.at = now
}

func (e *Estimator) reference(w workload) *reference {
	ref, ok := e.references[w]
	if !ok {
		ref = &reference{variance: assumedVariance}
		if w.model != "" {
			ref.variance = assumedStreamVariance
		}
		e.references[w] = ref
	}
	return ref
}

// Refresh computes the speeds from the samples. Endpoints must be all that are listed, with
// what peers have measured; the samples of others are kept, so that one that returns under
// its ID keeps its speed.
func (e *Estimator) Refresh(now time.Time, endpoints []Endpoint) {
	for key, c := range e.cells {
		if c.age(now); c.weight < minWeight {
			delete(e.cells, key)
		}
	}
	estimates := make(map[string]*estimate, len(endpoints))
	for _, listed := range endpoints {
		known, ok := e.estimates[listed.ID]
		if !ok {
			known = &estimate{variance: assumedVariance, slowness: 1}
		}
		estimates[listed.ID] = known
	}
	for key := range e.cells { // of endpoints that are not listed now
		if known, ok := e.estimates[key.endpoint]; ok {
			estimates[key.endpoint] = known
		}
	}
	e.estimates = estimates
	for range iterations {
		e.fitReferences()
		e.fitEndpoints(endpoints)
	}
	e.normalise(endpoints)
}

// fitReferences computes the processing time of each workload, given the speeds.
func (e *Estimator) fitReferences() {
	for _, ref := range e.references {
		ref.sum, ref.weight = 0, 0
	}
	for key, c := range e.cells {
		ref := e.reference(key.workload)
		var slowness float64
		if known, ok := e.estimates[key.endpoint]; ok {
			slowness = known.log
		}
		ref.sum += c.weight * (c.mean - slowness)
		ref.weight += c.weight
	}
	for w, ref := range e.references {
		if ref.weight == 0 {
			delete(e.references, w)
			continue
		}
		ref.log = ref.sum / ref.weight
	}
}

// fitEndpoints computes the speed of each endpoint, given the references.
func (e *Estimator) fitEndpoints(endpoints []Endpoint) {
	for _, known := range e.estimates {
		known.sum, known.varianceSum, known.ownWeight = 0, 0, 0
	}
	for key, c := range e.cells {
		if known, ok := e.estimates[key.endpoint]; ok {
			ref := e.references[key.workload]
			known.sum += c.weight * (c.mean - ref.log)
			known.varianceSum += c.weight * ref.variance
			known.ownWeight += c.weight
		}
	}
	variances := make(map[string]float64) // the largest of each service
	for w, ref := range e.references {
		variances[w.service] = max(variances[w.service], ref.variance)
	}
	for _, listed := range endpoints {
		known := e.estimates[listed.ID]
		known.own = 0
		if variance, ok := variances[listed.Service]; ok {
			known.variance = variance
		}
		if known.ownWeight > 0 {
			known.own, known.variance = known.sum/known.ownWeight, known.varianceSum/known.ownWeight
		}
		known.weight = known.ownWeight + float64(listed.PeerSamples)
		total := known.sum + float64(listed.PeerSum)/100
		known.log = max(-maxLog, min(total/(known.weight+known.variance/priorVariance), maxLog))
	}
}

// normalise relates the speeds to the median of each service. Endpoints of unknown speed
// count as equal to it, since peers report only those that differ.
func (e *Estimator) normalise(endpoints []Endpoint) {
	logs := make(map[string][]float64)
	for _, listed := range endpoints {
		logs[listed.Service] = append(logs[listed.Service], e.estimates[listed.ID].log)
	}
	medians := make(map[string]float64, len(logs))
	for service, list := range logs {
		slices.Sort(list)
		medians[service] = (list[(len(list)-1)/2] + list[len(list)/2]) / 2
	}
	for _, listed := range endpoints {
		known, median := e.estimates[listed.ID], medians[listed.Service]
		known.slowness = 1
		known.log -= median
		known.own -= median
		if known.weight < minSamples || math.Abs(known.log) <= max(minDifference, significance*math.Sqrt(known.variance/known.weight)) {
			known.streak = 0
			continue
		}
		if known.streak++; known.streak >= minStreak {
			known.slowness = math.Exp(known.log)
		}
	}
}

// Slowness returns the endpoint's processing time relative to the median of its service's
// endpoints, as of the last Refresh. It is exactly 1 if it is unknown or differs too little
// to tell it from noise.
func (e *Estimator) Slowness(endpoint string) float64 {
	if known, ok := e.estimates[endpoint]; ok {
		return known.slowness
	}
	return 1
}

// Report returns what this host has measured of an endpoint, as of the last Refresh. It
// returns false if that is nothing, or no difference to the median.
func (e *Estimator) Report(endpoint string) (Measurement, bool) {
	known, ok := e.estimates[endpoint]
	if !ok || known.ownWeight < 0.5 {
		return Measurement{}, false
	}
	if math.Abs(known.own) <= max(minReported, reportSignificance*math.Sqrt(known.variance/known.ownWeight)) {
		return Measurement{}, false
	}
	own := max(-maxLog, min(known.own, maxLog))
	return Measurement{Hundredths: int(math.Round(100 * own)), Samples: int(math.Round(known.ownWeight))}, true
}
