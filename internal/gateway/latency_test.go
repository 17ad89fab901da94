package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
)

const (
	latencyRate     = 200 // requests a second
	latencyRequests = 3000
	latencyTokens   = 16
	latencyInterval = 5 * time.Millisecond
)

// latencies are histograms of the time to the first event and of the times
// between events, in microseconds.
type latencies struct {
	mu             sync.Mutex
	first, between *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{first: hdrhistogram.New(1, 10_000_000, 3), between: hdrhistogram.New(1, 10_000_000, 3)}
}

func (l *latencies) add(first time.Duration, gaps []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.first.RecordValue(max(first.Microseconds(), 1))
	for _, gap := range gaps {
		_ = l.between.RecordValue(max(gap.Microseconds(), 1))
	}
}

// streamOnce sends one streamed request and records its latencies.
func (l *latencies) streamOnce(client *http.Client, url string) error {
	body := fmt.Sprintf(`{"model":"draft","prompt":"a ring","max_tokens":%d,"stream":true}`, latencyTokens)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("X-Attempt-Id", "direct")
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var first time.Duration
	var gaps []time.Duration
	last := sent
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), "data: {") {
			continue
		}
		now := time.Now()
		if first == 0 {
			first = now.Sub(sent)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	if len(gaps) != latencyTokens {
		return fmt.Errorf("%d events, status %d", len(gaps), resp.StatusCode)
	}
	l.add(first, gaps)
	return scanner.Err()
}

// BenchmarkAddedLatency sends the same streams directly to an engine and through
// a gateway, alternating every second, and reports the differences of the
// latency percentiles.
func BenchmarkAddedLatency(b *testing.B) {
	logrus.SetOutput(io.Discard)
	gatewayURL, engineURL, stop := latencyServers()
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for range b.N {
		direct, through := newLatencies(), newLatencies()
		for range 50 { // warm up connections
			_ = newLatencies().streamOnce(client, engineURL)
			_ = newLatencies().streamOnce(client, gatewayURL)
		}
		var running sync.WaitGroup
		ticker := time.NewTicker(time.Second / latencyRate)
		for i := range 2 * latencyRequests {
			<-ticker.C
			running.Go(func() {
				to, url := direct, engineURL
				if i/latencyRate%2 == 1 { // alternate every second
					to, url = through, gatewayURL
				}
				if err := to.streamOnce(client, url); err != nil {
					b.Error(err)
				}
			})
		}
		ticker.Stop()
		running.Wait()
		report(b, "first", direct.first, through.first)
		report(b, "between", direct.between, through.between)
	}
}

// report reports the percentiles of the direct latency and the latency added by
// the gateway.
func report(b *testing.B, what string, direct, through *hdrhistogram.Histogram) {
	for _, percentile := range []float64{50, 99} {
		d, t := direct.ValueAtPercentile(percentile), through.ValueAtPercentile(percentile)
		b.ReportMetric(float64(t-d), fmt.Sprintf("us-added-%s-p%.0f", what, percentile))
		b.ReportMetric(float64(d), fmt.Sprintf("us-direct-%s-p%.0f", what, percentile))
	}
}

// latencyServers starts an engine and a gateway that routes to it.
func latencyServers() (gatewayURL, engineURL string, stop func()) {
	options := engineOptions()
	options.FirstToken, options.TokenInterval = latencyInterval, latencyInterval
	engine := httptest.NewServer(engineserver.New(options))
	src := &source{}
	object := endpointObject("worker-1", engine.URL, apiv1.EndpointKind_ENDPOINT_KIND_ENGINE)
	object.GetEndpoint().MaxConcurrent = 4096
	src.set(append(baseObjects(), object))
	registry := endpoint.NewRegistry(endpoint.Config{Source: src, Zone: "qce-1"})
	g := gateway.New(gateway.Config{Source: src, Limiter: &fakeLimiter{}, Recorder: &fakeRecorder{}, Endpoints: registry, Zone: "qce-1"})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = registry.Serve(ctx) })
	running.Go(func() { _ = g.Serve(ctx) })
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.NewServer()
	server.Start()
	for registry.States()[0].ReportedAt.IsZero() {
		time.Sleep(time.Millisecond)
	}
	return server.URL, engine.URL, func() {
		server.Close()
		cancel()
		running.Wait()
		engine.Close()
	}
}
