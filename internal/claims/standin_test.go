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

// fleet is hosts before one platform stand-in, over a relay each.
type fleet struct {
	srv    *platformserver.Server
	relays []*relay.Relay
	stores []*objectstore.Client
	books  []*claims.Book
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
		book := claims.NewBook(claims.BookConfig{
			Store: store, Self: claims.Owner{Host: fmt.Sprint(i)}, Alive: func(claims.Owner) bool { return true },
		})
		go func() { _ = book.Serve(ctx) }()
		f.relays, f.stores, f.books = append(f.relays, link), append(f.stores, store), append(f.books, book)
	}
	return f
}

// send plays a gateway and its endpoint: it claims a request and runs it.
func send(ctx context.Context, book *claims.Book, key string, runs *atomic.Int32) (claims.Outcome, error) {
	outcome, err := book.Begin(ctx, claims.Request{Organisation: "org", Route: "register", IdempotencyKey: key, Fingerprint: "f"})
	if err == nil && outcome.State == claims.Claimed {
		runs.Add(1)
		_ = outcome.Claim.Finish(ctx, claims.Answer{Status: 201, Body: []byte("certificate of " + key)})
	}
	return outcome, err
}

// Callers repeat one key on all hosts at once while answers of the platform
// are lost and a host's connections go silent: the request runs once, and in
// the end every host has its answer.
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
			callers.Go(func() { _, _ = send(ctx, f.books[i%3], key, &runs) })
		}
		callers.Wait()
		for _, book := range f.books {
			awaitAnswer(t, book, key, &runs)
		}
		if runs.Load() != 1 {
			t.Errorf("round %d: %d runs, want 1", round, runs.Load())
		}
	}
}

// awaitAnswer repeats a key until its answer is given, as a caller would.
func awaitAnswer(t *testing.T, book *claims.Book, key string, runs *atomic.Int32) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		outcome, err := send(t.Context(), book, key, runs)
		if err == nil && outcome.State == claims.Recorded {
			if string(outcome.Answer.Body) != "certificate of "+key {
				t.Errorf("%s got the answer %q", key, outcome.Answer.Body)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: no answer; dump %+v", key, book.DumpState())
}

// BenchmarkTodaysCalls counts the platform's calls of 8 hosts that keep the
// configuration and claims, with 5 requests a second that must not be
// repeated. The deletions after the retention, one for each, come on top.
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
		if _, err := send(b.Context(), f.books[i%len(f.books)], fmt.Sprint(i), &runs); err != nil {
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
