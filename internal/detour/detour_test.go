package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/reach"
)

// endpointStub accepts connections and hands them to the test.
type endpointStub struct {
	net.Listener
	accepted chan *net.TCPConn
}

func newEndpointStub() *endpointStub {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	stub := &endpointStub{Listener: listener, accepted: make(chan *net.TCPConn, 16)}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			stub.accepted <- conn.(*net.TCPConn)
		}
	}()
	return stub
}

// relayingHost is a peer that relays connections to one endpoint, "e" of service "app".
type relayingHost struct {
	server   *Server
	stop     *drain.Stop
	paths    *reach.Monitor
	address  string
	mu       sync.Mutex
	endpoint Endpoint
	err      error
	// evacuateAfter is the number of calls of resolve after which the endpoint's zone is
	// evacuated; zero means never.
	evacuateAfter int
}

func (h *relayingHost) resolve(id string, _ int64) (Endpoint, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != "e" {
		return Endpoint{}, errors.New("no such endpoint")
	}
	if h.evacuateAfter > 0 {
		if h.evacuateAfter--; h.evacuateAfter == 0 {
			defer func() { h.err = ErrEvacuated }()
		}
	}
	return h.endpoint, h.err
}

func newRelayingHost(endpointAddress string) *relayingHost {
	h := &relayingHost{stop: drain.New(drain.Config{}), endpoint: Endpoint{Address: endpointAddress, Service: "app"}}
	h.paths = reach.New(reach.Config{
		Targets: func(string) []reach.Target { return []reach.Target{{ID: "e", Address: endpointAddress}} },
		Ping: func(ctx context.Context, address string) error {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		},
	})
	h.server = NewServer(ServerConfig{Resolve: h.resolve, Paths: h.paths, Accepts: h.stop.RelaysForPeers})
	mux := http.NewServeMux()
	mux.Handle(Path, h.server)
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	h.address = server.Listener.Addr().String()
	return h
}

func clientOf(peers ...Peer) *Client {
	return NewClient(ClientConfig{Host: "self", Zone: "z1", Peers: func() []Peer { return peers }})
}

var _ = Describe("A connection by way of a peer", func() {
	var (
		endpoint *endpointStub
		peer     *relayingHost
		client   *Client
		to       = Target{Endpoint: "e", Service: "app", Zone: "z1", Request: "r1"}
	)
	BeforeEach(func() {
		endpoint = newEndpointStub()
		peer = newRelayingHost(endpoint.Addr().String())
		client = clientOf(Peer{Name: "peer", Address: peer.address, Zone: "z1"})
	})
	dial := func() (*Conn, *net.TCPConn) {
		GinkgoHelper()
		near, err := client.Dial(context.Background(), to)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = near.Close() })
		var far *net.TCPConn
		Eventually(endpoint.accepted).Should(Receive(&far))
		DeferCleanup(func() { _ = far.Close() })
		return near, far
	}

	// Guards against a response without a length that passes for whole, since the write to the
	// endpoint that is under way at the peer takes the error of the reset.
	It("does not end in order if the endpoint resets its connection during an upload", func() {
		for range 20 {
			near, far := dial()
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = near.Write(make([]byte, 12<<20)) // more than the connections buffer
			}()
			_, err := io.ReadFull(far, make([]byte, 1<<10))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(far, "a part of the response")
			Expect(err).NotTo(HaveOccurred())
			Expect(far.SetLinger(0)).To(Succeed())
			Expect(far.Close()).To(Succeed())
			_, err = io.ReadAll(near)
			Expect(err).To(HaveOccurred())
			_ = near.Close()
			<-written
		}
	})

	It("carries bytes both ways, and an orderly end", func() {
		near, far := dial()
		_, err := io.WriteString(near, "request")
		Expect(err).NotTo(HaveOccurred())
		got := make([]byte, 7)
		_, err = io.ReadFull(far, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("request"))
		_, err = io.WriteString(far, "response")
		Expect(err).NotTo(HaveOccurred())
		Expect(far.Close()).To(Succeed())
		Expect(io.ReadAll(near)).To(BeEquivalentTo("response"))
	})

	// Guards against a response that breaks off at its endpoint and reaches the host as one
	// that ends with its connection.
	It("is broken if the endpoint resets its connection", func() {
		near, far := dial()
		_, err := io.WriteString(far, "part of a resp")
		Expect(err).NotTo(HaveOccurred())
		got := make([]byte, 14)
		_, err = io.ReadFull(near, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(far.SetLinger(0)).To(Succeed())
		Expect(far.Close()).To(Succeed())
		_, err = near.Read(got)
		Expect(err).To(And(HaveOccurred(), Not(MatchError(io.EOF))))
	})

	// Guards against a response that ends with its connection and counts as whole although
	// the peer was killed in the middle of it: its kernel ends connections in order.
	It("does not end in order if the peer's process is killed", func() {
		killed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = killed.Close() })
		through := newRelayingHost(endpoint.Addr().String())
		go func() {
			near, err := killed.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", through.address)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(far, near) }()
			buffer := make([]byte, 4096)
			for received := ""; !strings.Contains(received, "part of a resp"); {
				n, err := far.Read(buffer)
				if err != nil {
					return
				}
				received += string(buffer[:n])
				_, _ = near.Write(buffer[:n])
			}
			_ = near.(*net.TCPConn).CloseWrite()
		}()
		client = clientOf(Peer{Name: "peer", Address: killed.Addr().String(), Zone: "z1"})
		near, far := dial()
		_, err = io.WriteString(far, "part of a resp")
		Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(near)
		Expect(string(got)).To(Equal("part of a resp"))
		Expect(err).To(HaveOccurred())
	})

	// Guards against endpoints that work on for callers who have gone.
	It("ends at the endpoint as soon as the host closes it", func() {
		near, far := dial()
		closedAt := time.Now()
		Expect(near.Close()).To(Succeed())
		_, err := far.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(time.Since(closedAt)).To(BeNumerically("<", 200*time.Millisecond))
		Eventually(peer.server.Relaying).Should(BeZero())
	})

	// Guards against a peer that holds a long response in its memory for a host that does
	// not read it.
	It("holds the endpoint back while the host does not read", func() {
		_, far := dial()
		Expect(far.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
		const most = 64 << 20
		written, err := io.Copy(far, io.LimitReader(zeros{}, most))
		Expect(err).To(HaveOccurred())
		Expect(written).To(BeNumerically("<", most))
	})

	It("is not made to an endpoint that is not there, and nothing was sent", func() {
		Expect(endpoint.Close()).To(Succeed())
		_, err := client.Dial(context.Background(), to)
		var unreached *UnreachedError
		Expect(errors.As(err, &unreached)).To(BeTrue(), "%v", err)
		Expect(unreached.Unknown).To(BeFalse())
	})

	It("is not made to an endpoint that the peer knows to leave", func() {
		peer.err = errors.New("it leaves")
		_, err := client.Dial(context.Background(), to)
		var unreached *UnreachedError
		Expect(errors.As(err, &unreached)).To(BeTrue(), "%v", err)
		Expect(unreached.Unknown).To(BeTrue())
	})

	// Guards against a request to an evacuated zone by way of a peer that knows of the
	// evacuation before the host does, or learns of it while it connects.
	It("is not made to an endpoint in an evacuated zone", func() {
		other := newRelayingHost(endpoint.Addr().String())
		client = clientOf(Peer{Name: "peer", Address: peer.address, Zone: "z1"}, Peer{Name: "other", Address: other.address, Zone: "z1"})
		peer.err, other.err = ErrEvacuated, ErrEvacuated
		_, err := client.Dial(context.Background(), to)
		var unreached *UnreachedError
		Expect(errors.As(err, &unreached)).To(BeTrue(), "%v", err)
		Expect(unreached.Unknown).To(BeTrue())
		peer.err, other.err = nil, nil
		peer.evacuateAfter, other.evacuateAfter = 1, 1
		_, err = client.Dial(context.Background(), to)
		Expect(errors.As(err, &unreached)).To(BeTrue(), "%v", err)
	})

	// Guards against requests that reach an endpoint from a host which it asked for a
	// backoff, though other hosts may send it some.
	It("is made by another peer if the endpoint asked one for a backoff", func() {
		peer.err = ErrBackoff
		other := newRelayingHost(endpoint.Addr().String())
		client = clientOf(Peer{Name: "peer", Address: peer.address, Zone: "z1"}, Peer{Name: "other", Address: other.address, Zone: "z2"})
		near, _ := dial()
		Expect(near.Peer).To(Equal("other"))
	})

	// Guards against asking hosts of a build that does not relay, or that stop.
	It("is refused at once if no peer relays it", func() {
		old := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(old.Close)
		peer.stop.Begin(drain.Timing{})
		client = clientOf(Peer{Name: "old", Address: old.Listener.Addr().String()}, Peer{Name: "stopping", Address: peer.address})
		began := time.Now()
		_, err := client.Dial(context.Background(), to)
		var none *NoPeerError
		Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
		Expect(none.Asked).To(Equal(2))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(client.Available("app")).To(BeFalse())
		Expect(client.Available("other")).To(BeTrue())
	})

	// Guards against a planned stop that cuts off requests of other hosts.
	It("lives on while the peer stops", func() {
		near, far := dial()
		peer.stop.Begin(drain.Timing{})
		Consistently(peer.server.Relaying, "100ms").Should(Equal(1))
		_, err := io.WriteString(far, "late")
		Expect(err).NotTo(HaveOccurred())
		Expect(far.Close()).To(Succeed())
		Expect(io.ReadAll(near)).To(BeEquivalentTo("late"))
		Expect(near.Close()).To(Succeed())
		Eventually(peer.server.Relaying).Should(BeZero())
	})

	// Guards against a relayed request that is taken late in a stop and cut with the process.
	It("is not made by a peer that has begun to stop", func() {
		peer.stop.Begin(drain.Timing{})
		_, err := client.Dial(context.Background(), to)
		var noPeer *NoPeerError
		Expect(errors.As(err, &noPeer)).To(BeTrue(), "%v", err)
	})

	// Guards against a chain of hosts none of which reaches the endpoint.
	It("is not made by a peer whose own path does not work", func() {
		Expect(endpoint.Close()).To(Succeed())
		peer.paths.RecordFailure(context.Background(), "app", nil)
		Eventually(func() reach.State { return peer.paths.State("app") }).Should(Equal(reach.Suspect))
		_, err := client.Dial(context.Background(), to)
		var none *NoPeerError
		Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
	})
})

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
