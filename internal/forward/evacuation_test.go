package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/detour"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/reach"
)

// slowDetours calls connected after each connection by way of its peer.
type slowDetours struct {
	noDetours
	client    *detour.Client
	connected func()
}

func (slowDetours) Available(string) bool { return true }

func (d slowDetours) Dial(ctx context.Context, to detour.Target) (*detour.Conn, error) {
	conn, err := d.client.Dial(ctx, to)
	d.connected()
	return conn, err
}

var _ = Describe("A request whose endpoint's zone is evacuated", func() {
	var (
		// checks counts the questions whether the zone is evacuated. It is from that
		// number on.
		checks, evacuatedFrom atomic.Int32
		requests              chan error
		address               string
		f                     *Forwarder
	)
	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		requests, address = make(chan error, 4), listener.Addr().String()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, err = http.ReadRequest(bufio.NewReader(conn))
				requests <- err
			}
		}()
		checks.Store(0)
		evacuatedFrom.Store(1000)
		f = newStreamForwarder(address)
		f.config.Endpoints = fleet.NewRegistry(fleet.Config{Zone: "z", Evacuated: func(string) bool { return checks.Add(1) >= evacuatedFrom.Load() }})
		f.config.Endpoints.Put(fleet.Endpoint{ID: "e1", Service: "s", Address: address, Zone: "z", Slots: 64})
	})
	// expectRejected serves a request that makes so many connections to the endpoint.
	expectRejected := func(connections int) {
		GinkgoHelper()
		_, err := serveStream(f, "plain")
		var failure *Failure
		Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		Expect(failure.Reason).To(Equal(ReasonZoneEmptied))
		Expect(failure.NotRun).To(BeTrue())
		Expect(failure.RetryAfter).To(BeNumerically(">", 0))
		Eventually(requests).Should(HaveLen(connections))
		for range connections {
			Expect(<-requests).To(HaveOccurred(), "a request reached the endpoint")
		}
		Consistently(requests, "100ms").Should(BeEmpty())
	}

	It("is rejected as not run", func() {
		evacuatedFrom.Store(1)
		expectRejected(0)
	})

	// Guards against a request that gets its connection only after the evacuation began.
	It("is not sent once the connection stands", func() {
		evacuatedFrom.Store(2) // the first question is that of the choice
		expectRejected(1)
	})

	// Guards against the same by way of a peer.
	It("is not sent over the connection of a peer", func() {
		server := httptest.NewServer(detour.NewServer(detour.ServerConfig{
			Resolve: func(string, int64) (detour.Endpoint, error) {
				return detour.Endpoint{Address: address, Service: "s"}, nil
			},
			Paths: reach.New(reach.Config{}),
		}))
		DeferCleanup(server.Close)
		f.config.Detours = slowDetours{
			client: detour.NewClient(detour.ClientConfig{Peers: func() []detour.Peer {
				return []detour.Peer{{Name: "peer", Address: server.Listener.Addr().String()}}
			}}),
			connected: func() { evacuatedFrom.Store(0) },
		}
		f.config.Paths = reach.New(reach.Config{
			Targets:  func(string) []reach.Target { return []reach.Target{{ID: "e1", Address: address}} },
			Ping:     func(context.Context, string) error { return errors.New("refused") },
			OnChange: func(string, reach.State, bool) {},
		})
		f.config.Paths.RecordFailure(context.Background(), "s", nil)
		Eventually(func() reach.State { return f.config.Paths.State("s") }, time.Second).Should(Equal(reach.Suspect))
		expectRejected(1)
	})
})
