package socket

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/standin/stalled"
)

const (
	// addressVariable makes TestKilledProcess write to the address and wait, as the process
	// that is killed.
	addressVariable = "TEST_WRITE_TO"
	// requestBytes is more than the receiver's window and less than the sender's buffer.
	requestBytes = 30 << 10
)

func stalledListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := stalled.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func dialDropping(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := DialRequests((&net.Dialer{}).DialContext)(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestKilledProcess guards against requests that the kernel of a host delivers after its
// process was killed.
func TestKilledProcess(t *testing.T) {
	if address := os.Getenv(addressVariable); address != "" {
		conn := dialDropping(t, address)
		_, _ = conn.Write(make([]byte, requestBytes))
		_, _ = os.Stdout.WriteString("written\n")
		time.Sleep(time.Minute)
		return
	}
	listener := stalledListener(t)
	child := exec.Command(os.Args[0], "-test.run=^TestKilledProcess$")
	child.Env = append(os.Environ(), addressVariable+"="+listener.Addr().String())
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if line, err := bufio.NewReader(output).ReadString('\n'); err != nil {
		t.Fatalf("output of the process %q: %v", line, err)
	}
	_ = child.Process.Kill()
	_ = child.Wait()
	received, err := io.Copy(io.Discard, conn)
	if received >= requestBytes || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d of %d bytes were received, then: %v; want a part, then a reset", received, requestBytes, err)
	}
}

// TestCloseAfterDelivery guards against connections that are reset although everything on them
// has been delivered.
func TestCloseAfterDelivery(t *testing.T) {
	listener := stalledListener(t)
	near := dialDropping(t, listener.Addr().String())
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	if _, err := near.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request is acknowledged", func() bool { return Unacknowledged(near) == 0 })
	_ = near.Close()
	if got, err := io.ReadAll(far); err != nil || string(got) != "request" {
		t.Errorf("received %q, then: %v", got, err)
	}
}
