package responsehead

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// Transport is a http.Transport that checks the heads of responses.
type Transport struct{ *http.Transport }

var errUnexpected = errors.New("a response arrived before its request was sent; check what the other side sends")

// NewTransport returns a Transport that uses base, whose DialContext must be set and which must
// not be used by itself. It uses HTTP/1 only.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn, false), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, conn, address, base)
	}
	return &Transport{base}
}

// handshake secures a connection; DialTLSContext of http.Transport has to.
func handshake(ctx context.Context, raw net.Conn, address string, base *http.Transport) (net.Conn, error) {
	config := base.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.CombineErrors(err, raw.Close())
		}
		config.ServerName = host
	}
	if base.TLSHandshakeTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, base.TLSHandshakeTimeout)
		defer cancel()
		ctx = limited
	}
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(err, raw.Close())
	}
	return NewConn(conn, false), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*Conn); conn != nil {
			_ = conn.Expect(nil) // checks nothing yet
		}
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case conn == nil:
		return response, err
	case err != nil:
		return nil, cmp.Or(conn.Malformed(), err)
	case !conn.Checked():
		_ = response.Body.Close()
		return nil, errUnexpected
	}
	return response, nil
}
