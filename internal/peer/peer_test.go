package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

type echoGossip struct{}

func (echoGossip) Gossip(_ context.Context, r *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return &peerv1.GossipResponse{Self: r.GetSelf()}, nil
}

var _ = Describe("Pool and server", func() {
	request := &peerv1.GossipRequest{Self: &peerv1.HostDigest{Host: "a"}}
	var server *httptest.Server
	BeforeEach(func() {
		server = httptest.NewServer(peer.NewServer("secret", peer.Handlers{Gossip: echoGossip{}}))
		DeferCleanup(server.Close)
	})

	It("responds to a peer that sends the secret, and rejects others", func() {
		pool := peer.NewPool(peer.PoolConfig{Secret: "secret"})
		DeferCleanup(pool.Close)
		response, err := pool.Gossip(context.Background(), server.URL, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetSelf().GetHost()).To(Equal("a"))
		_, err = pool.Drain(context.Background(), server.URL, &peerv1.DrainRequest{})
		Expect(err).To(MatchError(ContainSubstring("not served by this host")))
		stranger := peer.NewPool(peer.PoolConfig{Secret: "other"})
		DeferCleanup(stranger.Close)
		_, err = stranger.Gossip(context.Background(), server.URL, request)
		Expect(err).To(MatchError(ContainSubstring("set the same peer secret")))
	})

	// Guards against a host that runs out of memory for a response without end.
	It("gives up a response without end", func() {
		const due = 64 << 20 // allows for what the sockets hold beyond the bound
		sent := make(chan int64, 1)
		endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			sent <- writeWithoutEnd(w, 8*due)
		}))
		DeferCleanup(endless.Close)
		pool := peer.NewPool(peer.PoolConfig{Secret: "secret", CallTimeout: 10 * time.Second})
		DeferCleanup(pool.Close)
		_, err := pool.Gossip(context.Background(), endless.URL, request)
		Expect(err).To(HaveOccurred())
		Expect(<-sent).To(BeNumerically("<", due))
	})

	It("dials a new connection after one stops responding", func() {
		relay := newBlackholingRelay(server.Listener.Addr().String())
		DeferCleanup(relay.listener.Close)
		pool := peer.NewPool(peer.PoolConfig{Secret: "secret", CallTimeout: 200 * time.Millisecond})
		DeferCleanup(pool.Close)
		_, err := pool.Gossip(context.Background(), relay.url(), request)
		Expect(err).NotTo(HaveOccurred())
		relay.generation.Add(1)
		_, err = pool.Gossip(context.Background(), relay.url(), request)
		Expect(err).To(HaveOccurred())
		_, err = pool.Gossip(context.Background(), relay.url(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(relay.accepted.Load()).To(BeEquivalentTo(2))
	})
})

// writeWithoutEnd writes blocks of bytes until the other side closes the
// connection, or most bytes are written. It returns their number.
func writeWithoutEnd(w io.Writer, most int64) int64 {
	total := int64(0)
	for block := strings.Repeat("x", 64<<10); total < most; total += int64(len(block)) {
		if _, err := io.WriteString(w, block); err != nil {
			break
		}
	}
	return total
}

// blackholingRelay forwards TCP. Connections of earlier generations stay open but
// forward nothing.
type blackholingRelay struct {
	listener             net.Listener
	target               string
	generation, accepted atomic.Int64
}

func newBlackholingRelay(target string) *blackholingRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &blackholingRelay{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.accepted.Add(1)
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			generation := r.generation.Load()
			go r.pipe(upstream, conn, generation)
			go r.pipe(conn, upstream, generation)
		}
	}()
	return r
}

func (r *blackholingRelay) url() string { return "http://" + r.listener.Addr().String() }

func (r *blackholingRelay) pipe(to, from net.Conn, generation int64) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.generation.Load() == generation {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
}
