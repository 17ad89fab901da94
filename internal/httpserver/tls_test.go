package httpserver

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// startTLS starts a server with TLS and returns its address and the configuration of its
// clients.
func startTLS(t *testing.T, handler http.HandlerFunc) (server *Server, address string, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := &Certificate{CertificateFile: filepath.Join(t.TempDir(), "cert.pem"), KeyFile: filepath.Join(t.TempDir(), "key.pem")}
	for name, block := range map[string]*pem.Block{
		files.CertificateFile: {Type: "CERTIFICATE", Bytes: certificate}, files.KeyFile: {Type: "EC PRIVATE KEY", Bytes: encodedKey},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = New(Config{Name: "test", Listener: listener, Handler: handler, TLS: files})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	return server, listener.Addr().String(), &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the certificate is the test's own
}

// TestConnectionOfConcurrentRequests guards against a data race on the count of earlier
// requests if requests share a connection, as those of HTTP/2 do. Run with -race.
func TestConnectionOfConcurrentRequests(t *testing.T) {
	_, address, config := startTLS(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = ConnectionOf(r.Context())
		_, _ = io.WriteString(w, r.Proto)
	})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			response, err := client.Get("https://" + address)
			if err != nil {
				t.Error(err)
				return
			}
			defer response.Body.Close()
			if response.ProtoMajor != 2 {
				t.Errorf("protocol %s, want HTTP/2", response.Proto)
			}
		})
	}
	group.Wait()
}

// TestStopClosesUnusedTLSConnections guards against a stop that waits for TLS connections
// on which no request is sent.
func TestStopClosesUnusedTLSConnections(t *testing.T) {
	server, address, config := startTLS(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	waitFor(t, "the connection is accepted", server.acceptedAny)
	stopped := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(stopped)
		server.stop(t.Context())
	}()
	select {
	case <-stopped:
	case <-time.After(newConnGrace + 2*time.Second):
		<-stopped
		t.Fatalf("the server waited %v for an unused connection", time.Since(began))
	}
}
