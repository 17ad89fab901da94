package claims_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
	"bilberryslip.example/bilberryslip/internal/standin/relay"
)

// fleet is a set of hosts, each connected to one platform stand-in through a
// relay of its own.
type fleet struct {
	srv         *platformserver.Server
	relays      []*relay.Relay
	stores      []*objectstore.Client
	claimStores []*claims.Store
}

func newFleet(tb testing.TB, hosts int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{srv: platformserver.New(ctx, platformserver.Options{})}
	web := httptest.NewServer(f.srv)
	tb.Cleanup(func() { cancel(); web.CloseClientConnections(); web.Close() })
	for i := range hosts {
		link, err := relay.New(web.Listener.Addr().String())
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(link.Close)
		store := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{link.URL()}, CallTimeout: 300 * time.Millisecond})
		claimStore := claims.NewStore(claims.StoreConfig{
			ObjectStore: store, Self: claims.Owner{Host: fmt.Sprint(i)}, Alive: func(claims.Owner) bool { return true },
		})
		go func() { _ = claimStore.Serve(ctx) }()
		f.relays, f.stores, f.claimStores = append(f.relays, link), append(f.stores, store), append(f.claimStores, claimStore)
	}
	return f
}

// send acts as a gateway and its endpoint: it claims a request and runs it.
func send(ctx context.Context, claimStore *claims.Store, key string, runs *atomic.Int32) (claims.Outcome, error) {
	outcome, err := claimStore.Begin(ctx, claims.Request{Organisation: "org", Route: "register", IdempotencyKey: key, Fingerprint: "f"})
	if err == nil && outcome.State == claims.Claimed {
		runs.Add(1)
		_ = outcome.Claim.Finish(ctx, claims.Response{Status: 201, Body: []byte("certificate of " + key)})
	}
	return outcome, err
}

// A request with one idempotency key must run once, and every host must in the
// end return its response, when callers send it to all hosts concurrently while
// responses of the platform are lost and a host's connections stall.
func TestRepeatsOnAllHostsRunOnce(t *testing.T) {
	f := newFleet(t, 3)
	ctx := t.Context()
	for round := range 5 {
		key := fmt.Sprintf("key-%d", round)
		var runs atomic.Int32
		f.srv.Switches().Update(func(faults *platformserver.Faults) { faults.LoseAnswers = 4 })
		f.relays[round%3].Blackhole()
		var callers sync.WaitGroup
		for i := range 12 {
			callers.Go(func() { _, _ = send(ctx, f.claimStores[i%3], key, &runs) })
		}
		callers.Wait()
		for _, claimStore := range f.claimStores {
			awaitResponse(t, claimStore, key, &runs)
		}
		if runs.Load() != 1 {
			t.Errorf("round %d: %d runs, want 1", round, runs.Load())
		}
	}
}

// awaitResponse retries a key until its recorded response is returned, as a
// caller would.
func awaitResponse(t *testing.T, claimStore *claims.Store, key string, runs *atomic.Int32) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		outcome, err := send(t.Context(), claimStore, key, runs)
		if err == nil && outcome.State == claims.Recorded {
			if string(outcome.Answer.Body) != "certificate of "+key {
				t.Errorf("%s: response %q is not that of its run", key, outcome.Answer.Body)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: no recorded response; dump %+v", key, claimStore.DumpState())
}

// BenchmarkTodaysCalls reports the platform calls of 8 hosts that follow the
// configuration log and serve claims, at 5 non-repeatable requests per second.
// The deletion of each claim after its retention comes on top.
func BenchmarkTodaysCalls(b *testing.B) {
	logrus.SetLevel(logrus.ErrorLevel)
	defer logrus.SetLevel(logrus.InfoLevel)
	const perSecond = 5
	f := newFleet(b, 8)
	for _, store := range f.stores {
		log := config.NewLog(config.LogConfig{Store: store})
		go func() { _ = log.Serve(b.Context()) }()
	}
	var runs atomic.Int32
	started := time.Now()
	for i := 0; b.Loop(); i++ {
		if _, err := send(b.Context(), f.claimStores[i%len(f.claimStores)], fmt.Sprint(i), &runs); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Until(started.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	seconds := time.Since(started).Seconds()
	state := f.srv.State()
	b.ReportMetric(float64(state.Calls.Writes())/seconds, "writes/s")
	b.ReportMetric(float64(state.Calls.Reads())/seconds, "reads/s")
	b.ReportMetric(float64(state.WaitingWatches), "watches")
}
