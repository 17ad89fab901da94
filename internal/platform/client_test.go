package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/platform"
	"bilberryslip.example/bilberryslip/internal/standin/objectstore"
	"github.com/cockroachdb/errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// server is the object API over an in-memory store, with faults.
type server struct {
	store *objectstore.Store

	mu sync.Mutex
	// loseAnswers is the number of writes whose answer is still to be lost.
	loseAnswers atomic.Int32
	// silent holds the remote addresses whose connections are never answered
	// again.
	silent map[string]bool
	writes atomic.Int32
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent[r.RemoteAddr]
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	kind := platform.Kind(parts[1])
	switch {
	case parts[0] == "watch":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 3:
		obj, err := s.store.Get(r.Context(), kind, parts[2])
		answer(w, http.StatusOK, obj, err)
	case r.Method == http.MethodGet:
		listing, err := s.store.List(r.Context(), kind, r.URL.Query().Get("prefix"))
		answer(w, http.StatusOK, listing, err)
	default:
		s.write(w, r, kind, parts[2])
	}
}

func (s *server) write(w http.ResponseWriter, r *http.Request, kind platform.Kind, name string) {
	var value json.RawMessage
	_ = json.NewDecoder(r.Body).Decode(&value)
	match, _ := strconv.Unquote(r.Header.Get("If-Match"))
	version, _ := strconv.ParseInt(match, 10, 64)
	var obj platform.Object
	var err error
	switch {
	case r.Method == http.MethodDelete:
		err = s.store.Delete(r.Context(), kind, name, platform.Version(version))
	case r.Header.Get("If-None-Match") == "*":
		obj, err = s.store.Create(r.Context(), kind, name, r.Header.Get("X-Write-Id"), value)
	default:
		obj, err = s.store.Update(r.Context(), kind, name, platform.Version(version), r.Header.Get("X-Write-Id"), value)
	}
	s.writes.Add(1)
	if s.loseAnswers.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodDelete && err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	answer(w, http.StatusOK, obj, err)
}

func answer(w http.ResponseWriter, status int, body any, err error) {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		status = http.StatusNotFound
	}
	if errors.As(err, &conflict) {
		status, body = http.StatusPreconditionFailed, conflict.Current
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *server) watch(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	watch, err := s.store.Watch(r.Context(), kind, platform.Version(after))
	var gone *platform.GoneError
	if errors.As(err, &gone) {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]platform.Version{"oldest": gone.Oldest})
		return
	}
	defer watch.Stop()
	flush := func() { _ = http.NewResponseController(w).Flush() }
	flush()
	for ev := range watch.Events() {
		_ = json.NewEncoder(w).Encode(ev)
		flush()
	}
}

var _ = Describe("Client", func() {
	ctx := context.Background()
	var srv *server
	var http1 *httptest.Server
	var client *platform.Client

	BeforeEach(func() {
		srv = &server{store: objectstore.New(), silent: make(map[string]bool)}
		http1 = httptest.NewServer(srv)
		DeferCleanup(func() { http1.CloseClientConnections(); http1.Close() })
		client = platform.NewClient(platform.ClientConfig{
			Addresses: []string{http1.URL, http1.URL}, CallTimeout: 300 * time.Millisecond, WatchTimeout: 300 * time.Millisecond,
		})
	})

	create := func(name, id string) (platform.Object, error) {
		return client.Create(ctx, platform.KindClaim, name, id, json.RawMessage(`{"a":1}`))
	}

	It("reads and writes with conditions", func() {
		first, err := create("a b", "w1")
		Expect(err).NotTo(HaveOccurred())
		_, err = create("a b", "w2")
		Expect(err).To(Equal(&platform.ConflictError{Current: first}))
		second, err := client.Update(ctx, platform.KindClaim, "a b", first.Version, "w3", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Get(ctx, platform.KindClaim, "a b")).To(Equal(second))
		Expect(client.List(ctx, platform.KindClaim, "a b")).To(HaveField("Items", ConsistOf(second)))
		Expect(client.Delete(ctx, platform.KindClaim, "a b", first.Version)).To(Equal(&platform.ConflictError{Current: second}))
		Expect(client.Delete(ctx, platform.KindClaim, "a b", second.Version)).To(Succeed())
		_, err = client.Get(ctx, platform.KindClaim, "a b")
		Expect(err).To(Equal(&platform.NotFoundError{Kind: platform.KindClaim, Name: "a b"}))
		Expect(client.Availability().Available).To(BeTrue())
	})

	It("calls a write unknown whose answer was lost, sends it once, and settles it", func() {
		_, _ = client.Get(ctx, platform.KindClaim, "x") // Leaves an idle connection.
		srv.loseAnswers.Store(1)
		_, err := create("a", "w1")
		Expect(err).To(HaveField("Outcome", platform.OutcomeUnknown))
		Expect(srv.writes.Load()).To(Equal(int32(1)))
		Expect(client.Availability().Available).To(BeFalse())
		srv.loseAnswers.Store(2)
		obj, err := platform.CreateSettled(ctx, client, platform.KindClaim, "b", "w2", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
		srv.loseAnswers.Store(2)
		obj, err = platform.UpdateSettled(ctx, client, platform.KindClaim, "b", obj.Version, "w3", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		Expect(obj).To(HaveField("WriteID", "w3"))
	})

	It("calls a write not sent where nothing listens, and tries the next address", func() {
		dead := httptest.NewServer(nil)
		dead.Close()
		lone := platform.NewClient(platform.ClientConfig{Addresses: []string{dead.URL}})
		_, err := lone.Create(ctx, platform.KindClaim, "a", "w1", json.RawMessage(`1`))
		Expect(err).To(HaveField("Outcome", platform.OutcomeNotSent))
		both := platform.NewClient(platform.ClientConfig{Addresses: []string{dead.URL, http1.URL}})
		_, err = both.Create(ctx, platform.KindClaim, "a", "w1", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("tells the outcome by status",
		func(status int, header http.Header, outcome platform.WriteOutcome, retryAfter time.Duration) {
			busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for name, values := range header {
					w.Header()[name] = values
				}
				w.WriteHeader(status)
			}))
			defer busy.Close()
			c := platform.NewClient(platform.ClientConfig{Addresses: []string{busy.URL}})
			_, err := c.Create(ctx, platform.KindClaim, "a", "w1", json.RawMessage(`1`))
			Expect(err).To(And(HaveField("Outcome", outcome), HaveField("RetryAfter", retryAfter)))
		},
		Entry("too many", 429, http.Header{"Retry-After": {"3"}}, platform.OutcomeNotSent, 3*time.Second),
		Entry("down, not applied", 503, http.Header{"X-Not-Applied": {"true"}}, platform.OutcomeNotSent, time.Duration(0)),
		Entry("down", 503, http.Header{"Retry-After": {"1"}}, platform.OutcomeUnknown, time.Second),
		Entry("answer cut", 201, http.Header{}, platform.OutcomeUnknown, time.Duration(0)),
	)

	It("does not use a connection again that went silent", func() {
		var remote string
		probe := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			srv.mu.Lock()
			if remote == "" {
				remote = r.RemoteAddr
			}
			srv.mu.Unlock()
			srv.ServeHTTP(w, r)
		}))
		defer probe.Close()
		defer probe.CloseClientConnections()
		c := platform.NewClient(platform.ClientConfig{Addresses: []string{probe.URL}, CallTimeout: 300 * time.Millisecond})
		_, _ = c.Get(ctx, platform.KindClaim, "x")
		srv.mu.Lock()
		srv.silent[remote] = true
		srv.mu.Unlock()
		_, err := c.List(ctx, platform.KindClaim, "")
		Expect(err).To(HaveField("Outcome", platform.OutcomeUnknown))
		_, err = c.List(ctx, platform.KindClaim, "")
		Expect(err).NotTo(HaveOccurred())
	})

	It("watches, and ends a watch that is silent or too old", func() {
		watch, err := client.Watch(ctx, platform.KindClaim, 0)
		Expect(err).NotTo(HaveOccurred())
		obj, err := create("a", "w1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(watch.Events()).Should(Receive(HaveField("Object", obj)))
		Eventually(watch.Events(), "5s").Should(BeClosed())
		var silent *platform.SilentWatchError
		Expect(errors.As(watch.Err(), &silent)).To(BeTrue())
		srv.store.Compact()
		_, err = client.Watch(ctx, platform.KindClaim, 0)
		Expect(err).To(Equal(&platform.GoneError{Oldest: obj.Version}))
	})

	It("keeps a watch open that gets only bookmarks", func() {
		watch, err := client.Watch(ctx, platform.KindClaim, 0)
		Expect(err).NotTo(HaveOccurred())
		defer watch.Stop()
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			srv.store.Bookmark()
			Expect(<-watch.Events()).To(HaveField("Type", platform.EventBookmark))
		}
		watch.Stop()
		Eventually(watch.Events()).Should(BeClosed())
	})
})
