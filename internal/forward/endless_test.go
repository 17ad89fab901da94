package forward

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/standin/endless"
)

// startEndless starts an endpoint whose responses have no end at the place. It returns
// its address, and the number of bytes that were taken from it.
func startEndless(place endless.Place) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	taken := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				taken.Add(endless.Write(conn, place, ""))
			}()
		}
	}()
	return listener.Addr().String(), taken
}

// idCodec takes responses without identifiers for those of the call, and others for
// strays.
type idCodec struct{ plainCodec }

func (idCodec) Belongs(_ *Call, header http.Header) bool { return header.Get("Request-Id") == "" }

var _ = Describe("A response without end", func() {
	const (
		// maxTaken is the number of bytes that may be taken from an endpoint for one
		// attempt: what is read of a response, and what the sockets hold.
		maxTaken = 12 << 20
		// attempts is the number of attempts on the routes of these specs.
		attempts = 2
		// patience is the time within which the call must fail, before its deadline of
		// two seconds.
		patience = time.Second
	)
	for _, place := range endless.Places() {
		// Guards against reading without a bound what an endpoint sends.
		It("is given up soon if it has no end in its "+string(place), func() {
			for _, route := range []string{"lookup", "plain", "resumable"} {
				if route == "plain" && (place == endless.Body || place == endless.ChunkedBody) {
					continue // a stream without a bound on its whole length
				}
				address, taken := startEndless(place)
				f := newStreamForwarder(address)
				f.config.Codec = idCodec{}
				started := time.Now()
				_, err := serveStream(f, route)
				Expect(err).To(HaveOccurred(), route)
				Expect(time.Since(started)).To(BeNumerically("<", patience), route)
				Eventually(taken.Load, "2s", "10ms").Should(BeNumerically(">", 0))
				Expect(taken.Load()).To(BeNumerically("<", attempts*maxTaken), route)
			}
		})
	}
})
