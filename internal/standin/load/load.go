// Package load sends a bounded, seeded load of callers' requests to hosts and
// reports what became of them.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxInFlight bounds the requests that wait for an answer at once.
const maxInFlight = 4096

// Options describes a load. Targets, Keys and Models must not be empty.
type Options struct {
	// Targets are base URLs of hosts' callers' addresses; each request goes
	// to a random one, as a balancer would send it.
	Targets []string
	// Keys are callers' keys; each request takes a random one.
	Keys []string
	// Models are the model or adapter names asked for.
	Models []string
	// Service is a path of non-repeatable calls, for example
	// /services/registry/certificates. Empty means none.
	Service string
	// ServiceFraction is the part of the requests that go to Service.
	ServiceFraction float64
	// StreamFraction is the part of the completions that are streamed.
	StreamFraction float64
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// MaxTokens is the length of the answers.
	MaxTokens int
	// Timeout is the limit of one request. Zero means one minute.
	Timeout time.Duration
	// Seed fixes the choices.
	Seed uint64
}

// Run sends the load and returns the report when every request has ended.
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

// call is one request to send.
type call struct {
	target  string
	key     string
	model   string
	stream  bool
	service bool
	// number tells requests apart.
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
