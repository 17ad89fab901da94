package platformserver_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
)

func TestPlatformServer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "Platform Server Suite")
}

const (
	token = "platform-token"
	value = `{"a":1}`
	// hostListLag is the lag of the host list.
	hostListLag = 300 * time.Millisecond
	// loadTime is the duration of a model load at full speed.
	loadTime = 100 * time.Millisecond
)

type client struct {
	url string
}

// call sends a request and returns the response, whose body is closed at the end
// of the test, or the error of a connection that was closed without a response.
func (c client) call(method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, c.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		DeferCleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func (c client) expect(status int, method, path, body string, headers ...string) *http.Response {
	GinkgoHelper()
	resp, err := c.call(method, path, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(status))
	return resp
}

func (c client) control(faults string) {
	GinkgoHelper()
	c.expect(http.StatusOK, http.MethodPost, "/control", faults)
}

func decode[T any](resp *http.Response) T {
	GinkgoHelper()
	var decoded T
	Expect(json.NewDecoder(resp.Body).Decode(&decoded)).To(Succeed())
	return decoded
}

// events starts a watch and returns a channel of its events.
func (c client) events(after string) <-chan objectstore.Event {
	GinkgoHelper()
	resp := c.expect(http.StatusOK, http.MethodGet, "/v1/watch/claims?after="+after, "")
	events := make(chan objectstore.Event, 100)
	go func() {
		defer close(events)
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			var event objectstore.Event
			if json.Unmarshal(lines.Bytes(), &event) != nil {
				return
			}
			events <- event
		}
	}()
	return events
}

var _ = Describe("Platform stand-in", func() {
	var (
		api    client
		server *platformserver.Server
	)
	create := func(name string) *http.Response {
		GinkgoHelper()
		return api.expect(http.StatusCreated, http.MethodPut, "/v1/objects/claims/"+name, value, "If-None-Match", "*", "X-Write-Id", "w-"+name)
	}
	matchEvent := func(name string, event objectstore.EventType, version objectstore.Version) any {
		return SatisfyAll(HaveField("Type", event), HaveField("Version", version), HaveField("Object.Name", name))
	}

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		server = platformserver.New(ctx, platformserver.Options{
			Token:       token,
			HostListLag: hostListLag,
			Weights:     platformserver.WeightOptions{LoadsPerSecond: 0.001, Parallel: 2, LoadTime: loadTime},
		})
		httpServer := httptest.NewServer(server)
		DeferCleanup(httpServer.Close)
		DeferCleanup(httpServer.CloseClientConnections)
		api = client{url: httpServer.URL}
	})

	It("serves objects with conditional writes", func() {
		created := decode[objectstore.Object](create("a/b"))
		Expect(created.Version).To(BeEquivalentTo(1))
		Expect(created.WriteID).To(Equal("w-a/b"))
		conflict := api.expect(http.StatusPreconditionFailed, http.MethodPut, "/v1/objects/claims/a/b", value, "If-None-Match", "*")
		Expect(decode[objectstore.Object](conflict)).To(Equal(created))
		api.expect(http.StatusOK, http.MethodPut, "/v1/objects/claims/a/b", `2`, "If-Match", `"1"`)
		api.expect(http.StatusPreconditionFailed, http.MethodPut, "/v1/objects/claims/a/b", value, "If-Match", `"1"`)
		Expect(decode[objectstore.Object](api.expect(http.StatusOK, http.MethodGet, "/v1/objects/claims/a/b", "")).Value).To(MatchJSON(`2`))
		create("ac")
		create("b")
		Expect(decode[objectstore.Listing](api.expect(http.StatusOK, http.MethodGet, "/v1/objects/claims?prefix=a", "")).Items).To(HaveLen(2))
		api.expect(http.StatusPreconditionFailed, http.MethodDelete, "/v1/objects/claims/b", "", "If-Match", `"1"`)
		api.expect(http.StatusNoContent, http.MethodDelete, "/v1/objects/claims/b", "", "If-Match", `"4"`)
		api.expect(http.StatusNotFound, http.MethodGet, "/v1/objects/claims/b", "")
		api.expect(http.StatusNotFound, http.MethodPut, "/v1/objects/claims/b", value, "If-Match", `"4"`)
		api.expect(http.StatusUnauthorized, http.MethodGet, "/v1/objects/claims", "", "Authorization", "Bearer wrong")
		api.expect(http.StatusRequestEntityTooLarge, http.MethodPut, "/v1/objects/claims/b", `"`+strings.Repeat("x", 1<<20)+`"`, "If-None-Match", "*")

		calls := server.State().CallsByKind["claims"]
		Expect(calls).To(Equal(platformserver.Calls{Get: 2, List: 1, Create: 4, Update: 3, Delete: 2}))
	})

	It("sends events and bookmarks, and counts the open watches", func() {
		create("a")
		events := api.events("0")
		Eventually(events).Should(Receive(matchEvent("a", objectstore.EventPut, 1)))
		create("b")
		Eventually(events).Should(Receive(matchEvent("b", objectstore.EventPut, 2)))
		Eventually(events, "1s").Should(Receive(matchEvent("", objectstore.EventBookmark, 2)))
		Expect(server.State().WaitingWatches).To(Equal(1))
		api.control(`{"cutWatches":1}`)
		Eventually(events).Should(BeClosed())
		Eventually(func() int { return server.State().WaitingWatches }).Should(BeZero())
	})

	It("withholds events from stale watches but sends them bookmarks", func() {
		events := api.events("0")
		api.control(`{"staleWatches":true}`)
		create("a")
		Eventually(events, "2s").Should(Receive(matchEvent("", objectstore.EventBookmark, 0)))
		Consistently(events, "100ms").ShouldNot(Receive(HaveField("Type", objectstore.EventPut)))
		api.control(`{"staleWatches":false}`)
		Eventually(events, "2s").Should(Receive(matchEvent("a", objectstore.EventPut, 1)))
	})

	It("silences running watches permanently while new ones work", func() {
		events := api.events("0")
		api.control(`{"silentWatches":true}`)
		api.control(`{"silentWatches":false}`)
		create("a")
		Consistently(events, "700ms").ShouldNot(Receive())
		Eventually(api.events("0")).Should(Receive(matchEvent("a", objectstore.EventPut, 1)))
	})

	It("drops the response after a write took effect", func() {
		api.control(`{"loseAnswers":1,"loseAnswersKind":"claims"}`)
		api.expect(http.StatusCreated, http.MethodPut, "/v1/objects/leases/a", value, "If-None-Match", "*")
		_, err := api.call(http.MethodPut, "/v1/objects/claims/a", value, "If-None-Match", "*", "X-Write-Id", "lost")
		Expect(err).To(HaveOccurred())
		stored := decode[objectstore.Object](api.expect(http.StatusOK, http.MethodGet, "/v1/objects/claims/a", ""))
		Expect(stored.WriteID).To(Equal("lost"))
		create("b")
	})

	It("closes connections, responds with 503 and delays calls", func() {
		events := api.events("0")
		api.control(`{"down":true}`)
		Eventually(events).Should(BeClosed())
		_, err := api.call(http.MethodGet, "/v1/objects/claims/a", "")
		Expect(err).To(HaveOccurred())
		api.control(`{"down":false,"unavailable":true}`)
		refused := api.expect(http.StatusServiceUnavailable, http.MethodPut, "/v1/objects/claims/a", value, "If-None-Match", "*")
		Expect(refused.Header.Get("X-Not-Applied")).To(Equal("true"))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		api.control(`{"unavailable":false,"slowMillis":150}`)
		start := time.Now()
		api.expect(http.StatusNotFound, http.MethodGet, "/v1/objects/claims/a", "")
		Expect(time.Since(start)).To(BeNumerically(">=", 150*time.Millisecond))
		api.expect(http.StatusBadRequest, http.MethodPost, "/control", `{"dwon":true}`)
	})

	It("shows a changed host list only after its lag", func() {
		hosts := func() []objectstore.ListedHost {
			resp := api.expect(http.StatusOK, http.MethodGet, "/v1/hosts", "")
			return decode[struct{ Hosts []objectstore.ListedHost }](resp).Hosts
		}
		start := time.Now()
		api.control(`{"hosts":[{"name":"h1","zone":"z1","peerUrl":"http://127.0.0.1:1","state":"live"}]}`)
		Eventually(hosts).Should(HaveLen(1))
		Expect(time.Since(start)).To(BeNumerically(">=", hostListLag))
		Expect(hosts()[0].State).To(Equal(objectstore.HostLive))
	})

	It("limits the rate of loads and simulates their duration", func() {
		start := time.Now()
		api.expect(http.StatusOK, http.MethodGet, "/v1/weights/w?bytes=1", "")
		Expect(time.Since(start)).To(BeNumerically(">=", loadTime))
		api.expect(http.StatusOK, http.MethodGet, "/v1/weights/w?bytes=1", "")
		refused := api.expect(http.StatusTooManyRequests, http.MethodGet, "/v1/weights/w?bytes=1", "")
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		api.expect(http.StatusOK, http.MethodGet, "/v1/weights/a?bytes=1&adapter=true", "")
	})
})
