// Package detour connects a host to endpoints by way of a peer, while its own path to
// them does not work. The peer opens a connection to the endpoint and relays bytes; all
// else stays with the host: which endpoint, what is sent, how often, and what the response
// means. A connection takes one peer on its way, since a peer only relays to endpoints
// that it reaches directly.
package detour

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Path is the path of the peers' listener that relays connections.
const Path = "/relay"

// upgradeProtocol is the protocol that a connection to Path is switched to: the bytes to an
// endpoint as they are, those from it in chunks as of HTTP/1.1.
const upgradeProtocol = "bilberryslip-relay"

// The headers of a request for a relayed connection.
const (
	headerEndpoint = "Bilberryslip-Endpoint"
	headerStarted  = "Bilberryslip-Started-Millis"
	// headerFrom and headerRequest are the host and the caller's request, for the log.
	headerFrom    = "Bilberryslip-From"
	headerRequest = "Bilberryslip-Request"
	// headerReason says in a response why the connection is not relayed.
	headerReason = "Bilberryslip-Reason"
)

const (
	// endpointDialTimeout limits the time in which a peer connects to an endpoint.
	endpointDialTimeout = 700 * time.Millisecond
	// handshakeTimeout limits the time until a peer answers, after the connection to it:
	// its connection to the endpoint and a round trip.
	handshakeTimeout = endpointDialTimeout + 200*time.Millisecond
)

// Target is the endpoint that a connection is to reach.
type Target struct {
	// Endpoint is the endpoint's identifier, StartedMillis when its incarnation started,
	// in Unix milliseconds; zero if unknown.
	Endpoint      string
	StartedMillis int64
	Service, Zone string
	// Request is the caller's request, for the log.
	Request string
}

// NoPeerError means that no peer can relay a connection to a service's endpoints now.
type NoPeerError struct {
	Service string
	// Asked is the number of peers that refused.
	Asked int
	// Last is why the last one did; nil if there was none to ask.
	Last error
}

// Error implements error.
func (e *NoPeerError) Error() string {
	return fmt.Sprintf("no peer reaches the endpoints of service %s, %d asked (last: %v); check the paths of all hosts to them", e.Service, e.Asked, e.Last)
}

// Unwrap returns the last peer's reason, which may be nil.
func (e *NoPeerError) Unwrap() error { return e.Last }

// UnreachedError means that a peer that relays connections did not reach the endpoint.
type UnreachedError struct {
	Peer, Endpoint string
	// Unknown is set if the endpoint gets no new requests, by what the peer knows.
	Unknown bool
	Cause   error
}

// Error implements error.
func (e *UnreachedError) Error() string {
	return fmt.Sprintf("peer %s did not reach endpoint %s (%v); check that it runs", e.Peer, e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachedError) Unwrap() error { return e.Cause }

// errRefused is the reason of a peer that does not relay the connection.
var errRefused = errors.New("the peer does not relay the connection")
