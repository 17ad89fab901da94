// Package load generates caller requests at a given rate from a seed, sends them
// to hosts and reports their outcomes and latencies.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxInFlight is the maximum number of requests in flight.
const maxInFlight = 4096

// Options configures a load run. Targets, Keys and Models must not be empty.
type Options struct {
	// Targets are the base URLs on which the hosts serve callers. Each request
	// goes to a random one, as behind a load balancer.
	Targets []string
	// Keys are API keys; each request uses a random one.
	Keys []string
	// Models are model or adapter names; each completion requests a random one.
	Models []string
	// Service is the path of a non-repeatable service call, for example
	// /services/registry/certificates. Empty means that no calls are sent to
	// a service.
	Service string
	// ServiceFraction is the fraction of the requests that go to Service, from
	// 0 to 1.
	ServiceFraction float64
	// StreamFraction is the fraction of the completions that are streamed, from
	// 0 to 1.
	StreamFraction float64
	// RequestsPerSecond is the mean request rate.
	RequestsPerSecond float64
	// Duration is the time during which new requests are started.
	Duration time.Duration
	// MaxTokens is the max_tokens of each completion.
	MaxTokens int
	// Timeout is the timeout of one request. Zero means one minute.
	Timeout time.Duration
	// Seed seeds the choice of targets, keys, models and kinds of request.
	Seed uint64
}

// Run sends requests for options.Duration or until ctx ends, waits for those in
// flight and returns the report.
func Run(ctx context.Context, options Options) *Report {
	if options.Timeout == 0 {
		options.Timeout = time.Minute
	}
	sender := newSender(options)
	random := rand.New(rand.NewPCG(options.Seed, 0))
	limiter := rate.NewLimiter(rate.Limit(options.RequestsPerSecond), 1)
	sendCtx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	slots := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	started := time.Now()
	for limiter.Wait(sendCtx) == nil {
		request := options.choose(random)
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			sender.send(ctx, request)
		})
	}
	running.Wait()
	return sender.report(time.Since(started))
}

// call describes one request to send.
type call struct {
	target  string
	key     string
	model   string
	stream  bool
	service bool
	// number is random; it makes the prompt or the Idempotency-Key unique.
	number uint64
}

func (o *Options) choose(random *rand.Rand) call {
	return call{
		target:  o.Targets[random.IntN(len(o.Targets))],
		key:     o.Keys[random.IntN(len(o.Keys))],
		model:   o.Models[random.IntN(len(o.Models))],
		stream:  random.Float64() < o.StreamFraction,
		service: o.Service != "" && random.Float64() < o.ServiceFraction,
		number:  random.Uint64(),
	}
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
}
