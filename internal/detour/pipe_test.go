package detour

import (
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestResetOfConnectionOfServer guards against a relayed connection that ends like one that
// was closed in order. The servers of package httpserver wrap the connections they accept.
func TestResetOfConnectionOfServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	reset(struct{ *net.TCPConn }{accepted.(*net.TCPConn)})
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read: %v; want a reset", err)
	}
}
