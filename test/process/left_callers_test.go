package process_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("A host that gets no processor time", func() {
	const (
		pause    = 1200 * time.Millisecond
		patience = 300 * time.Millisecond
		each     = 6
	)
	// send sends a request on a new connection.
	send := func(host *cluster.Host, key, path, body string) net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", host.Addresses.Callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nX-Request-Timeout-Ms: %d\r\nIdempotency-Key: %s\r\n"+
			"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, key, patience.Milliseconds(), unique("left"), len(body), body)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
	// Guards against requests that run although their callers have left, or their time has
	// passed, while they lay unread.
	It("runs no request that nobody waits for any more", func() {
		c := cluster.Start(programs, cluster.Options{EnginesPerZone: 2, ServicesPerZone: 1})
		host := c.Hosts[0]
		key := c.GrantKey(host, "key", cluster.OrganisationA)
		cluster.NewCaller(key).ExpectServes(host)
		Eventually(host.UsableUnits).Should(BeNumerically(">", 0))

		host.Pause()
		var left, stay []net.Conn
		markers := []string{}
		for range each {
			for _, way := range []string{"close", "reset", "stay"} {
				for _, path := range []string{"/v1/completions", cluster.Certificates} {
					marker := unique("marker-" + way)
					markers = append(markers, marker)
					body := fmt.Sprintf(`{"request":%q}`, marker)
					if path != cluster.Certificates {
						body = fmt.Sprintf(`{"model":"draft","prompt":%q,"max_tokens":2}`, marker)
					}
					conn := send(host, key, path, body)
					switch way {
					case "reset":
						Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
						fallthrough
					case "close":
						left = append(left, conn)
					default:
						stay = append(stay, conn)
					}
				}
			}
		}
		time.Sleep(patience)
		for _, conn := range left {
			Expect(conn.Close()).To(Succeed())
		}
		time.Sleep(pause - patience)
		host.Continue()
		time.Sleep(300 * time.Millisecond)
		ran := []string{}
		for _, marker := range markers {
			if c.Runs(marker) > 0 {
				ran = append(ran, marker)
			}
		}
		Expect(ran).To(BeEmpty())
		for _, conn := range stay {
			Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(ContainSubstring(`"run":"not run"`))
		}
	})
})
