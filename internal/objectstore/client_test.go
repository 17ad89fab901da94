package objectstore_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
	"bilberryslip.example/bilberryslip/internal/standin/relay"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var _ = Describe("Client", func() {
	ctx := context.Background()
	var srv *platformserver.Server
	var link *relay.Relay
	var client *objectstore.Client

	BeforeEach(func() {
		background, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		srv = platformserver.New(background, platformserver.Options{Token: "token"})
		web := httptest.NewServer(srv)
		DeferCleanup(func() { web.CloseClientConnections(); web.Close() })
		var err error
		link, err = relay.New(web.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
		client = objectstore.NewClient(objectstore.ClientConfig{
			Addresses: []string{link.URL(), link.URL()}, Token: "token",
			CallTimeout: 300 * time.Millisecond, WatchTimeout: 2 * time.Second,
		})
	})

	loseResponses := func(responses int) {
		srv.Switches().Update(func(f *platformserver.Faults) { f.LoseAnswers = responses })
	}

	create := func(name, id string) (objectstore.Object, error) {
		return client.Create(ctx, objectstore.KindClaim, name, id, json.RawMessage(`{"a":1}`))
	}

	It("reads and writes with conditions", func() {
		first, err := create("a b", "w1")
		Expect(err).NotTo(HaveOccurred())
		_, err = create("a b", "w2")
		Expect(err).To(Equal(&objectstore.ConflictError{Current: first}))
		second, err := client.Update(ctx, objectstore.KindClaim, "a b", first.Version, "w3", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Get(ctx, objectstore.KindClaim, "a b")).To(Equal(second))
		Expect(client.List(ctx, objectstore.KindClaim, "a b")).To(HaveField("Items", ConsistOf(second)))
		Expect(client.Delete(ctx, objectstore.KindClaim, "a b", first.Version)).To(Equal(&objectstore.ConflictError{Current: second}))
		Expect(client.Delete(ctx, objectstore.KindClaim, "a b", second.Version)).To(Succeed())
		_, err = client.Get(ctx, objectstore.KindClaim, "a b")
		Expect(err).To(Equal(&objectstore.NotFoundError{Kind: objectstore.KindClaim, Name: "a b"}))
		Expect(client.Availability().Available).To(BeTrue())
	})

	It("reports an unknown outcome for a write whose response was lost, sends it once, and settles it", func() {
		_, _ = client.Get(ctx, objectstore.KindClaim, "x") // Leaves an idle connection.
		loseResponses(1)
		_, err := create("a", "w1")
		Expect(err).To(HaveField("Outcome", objectstore.OutcomeUnknown))
		Expect(srv.State().Calls.Writes()).To(Equal(int64(1)))
		Expect(client.Availability().Available).To(BeFalse())
		loseResponses(2)
		obj, err := objectstore.CreateSettled(ctx, client, objectstore.KindClaim, "b", "w2", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
		loseResponses(2)
		obj, err = objectstore.UpdateSettled(ctx, client, objectstore.KindClaim, "b", obj.Version, "w3", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		Expect(obj).To(HaveField("WriteID", "w3"))
	})

	It("reports a write as not sent if the connection is refused, and tries the next address", func() {
		dead := httptest.NewServer(nil)
		dead.Close()
		single := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{dead.URL}})
		_, err := single.Create(ctx, objectstore.KindClaim, "a", "w1", json.RawMessage(`1`))
		Expect(err).To(HaveField("Outcome", objectstore.OutcomeNotSent))
		both := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{dead.URL, link.URL()}, Token: "token"})
		_, err = both.Create(ctx, objectstore.KindClaim, "a", "w1", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a host that runs out of memory for an event without end.
	It("ends a watch whose event has no end", func() {
		const due, most = 32 << 20, 512 << 20 // due allows for what the sockets hold beyond the bound
		sent := make(chan int, 1)
		endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			total, err := io.WriteString(w, `{"type": "`)
			for block := strings.Repeat("x", 64<<10); err == nil && total < most; total += len(block) {
				_, err = io.WriteString(w, block)
			}
			sent <- total
		}))
		DeferCleanup(endless.Close)
		c := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{endless.URL}, WatchTimeout: 10 * time.Second})
		watch, err := c.Watch(ctx, objectstore.KindClaim, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(watch.Events(), "8s").Should(BeClosed())
		Expect(watch.Err()).To(MatchError(ContainSubstring("an event of the watch exceeds")))
		Expect(<-sent).To(BeNumerically("<", due))
	})

	DescribeTable("maps response statuses to outcomes",
		func(status int, header http.Header, outcome objectstore.WriteOutcome, retryAfter time.Duration) {
			busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for name, values := range header {
					w.Header()[name] = values
				}
				w.WriteHeader(status)
			}))
			defer busy.Close()
			c := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{busy.URL}})
			_, err := c.Create(ctx, objectstore.KindClaim, "a", "w1", json.RawMessage(`1`))
			Expect(err).To(And(HaveField("Outcome", outcome), HaveField("RetryAfter", retryAfter)))
		},
		Entry("too many requests", 429, http.Header{"Retry-After": {"3"}}, objectstore.OutcomeNotSent, 3*time.Second),
		Entry("unavailable, not applied", 503, http.Header{"X-Not-Applied": {"true"}}, objectstore.OutcomeNotSent, time.Duration(0)),
		Entry("down", 503, http.Header{"Retry-After": {"1"}}, objectstore.OutcomeUnknown, time.Second),
		Entry("response truncated", 201, http.Header{}, objectstore.OutcomeUnknown, time.Duration(0)),
	)

	It("does not reuse a connection that stalled", func() {
		_, _ = client.Get(ctx, objectstore.KindClaim, "x")
		link.Blackhole()
		_, err := client.Create(ctx, objectstore.KindClaim, "a", "w1", json.RawMessage(`1`))
		Expect(err).To(HaveField("Outcome", objectstore.OutcomeUnknown))
		Expect(client.Create(ctx, objectstore.KindClaim, "a", "w2", json.RawMessage(`1`))).To(HaveField("WriteID", "w2"))
	})

	It("watches, keeps a watch without events open by its bookmarks, and ends a stalled one", func() {
		watch, err := client.Watch(ctx, objectstore.KindClaim, 0)
		Expect(err).NotTo(HaveOccurred())
		obj, err := create("a", "w1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(watch.Events()).Should(Receive(HaveField("Object", obj)))
		for range 6 { // Three seconds, which is more than the watch timeout.
			Eventually(watch.Events(), "2s").Should(Receive(HaveField("Type", objectstore.EventBookmark)))
		}
		link.Blackhole()
		Eventually(watch.Events(), "5s").Should(BeClosed())
		var timedOut *objectstore.WatchTimeoutError
		Expect(errors.As(watch.Err(), &timedOut)).To(BeTrue())
		reopened, err := client.Watch(ctx, objectstore.KindClaim, obj.Version)
		Expect(err).NotTo(HaveOccurred())
		reopened.Stop()
		Eventually(reopened.Events()).Should(BeClosed())
	})

	It("returns the errors for compacted events and for a missing token", func() {
		_, err := create("a", "w1")
		Expect(err).NotTo(HaveOccurred())
		srv.Store().Compact()
		_, err = client.Watch(ctx, objectstore.KindClaim, 0)
		Expect(err).To(Equal(&objectstore.CompactedError{Oldest: 1}))
		unauthorized := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{link.URL()}})
		_, err = unauthorized.Create(ctx, objectstore.KindClaim, "b", "w1", json.RawMessage(`1`))
		Expect(err).To(HaveField("Status", http.StatusUnauthorized))
	})
})
