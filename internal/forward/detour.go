package forward

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/detour"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// Detours connects to endpoints by way of peers.
type Detours interface {
	// Available reports whether there is a peer to ask for connections to a service.
	Available(service string) bool
	// Dial connects to an endpoint. Nothing was sent to it if the error is not nil: a
	// *detour.NoPeerError or a *detour.UnreachedError.
	Dial(ctx context.Context, to detour.Target) (*detour.Conn, error)
	// Tell tells the peer of a connection what the endpoint said in a response, which binds
	// the peer as well: that it leaves, or wants no request for a time. It does not wait.
	Tell(by *detour.Conn, e fleet.Endpoint, leaving bool, backoff time.Duration)
}

// noDetours is used without Detours.
type noDetours struct{}

func (noDetours) Available(string) bool { return false }

func (noDetours) Dial(_ context.Context, to detour.Target) (*detour.Conn, error) {
	return nil, &detour.NoPeerError{Service: to.Service}
}

func (noDetours) Tell(*detour.Conn, fleet.Endpoint, bool, time.Duration) {}

// chooseWay makes an attempt go by way of a peer if this host's own path to the service's
// endpoints doesn't work. If that is only suspected, it goes directly unless there is a
// peer to ask.
func (x *inflightCall) chooseWay(attempt *fleet.Attempt, message *upstream.Message) {
	x.via, x.detour = "", nil
	detours := x.forwarder.config.Detours
	switch x.forwarder.config.Paths.State(x.service) {
	case reach.Direct:
		return
	case reach.Suspect:
		if !detours.Available(x.service) {
			return
		}
	}
	x.via = viaUnknown
	message.Dial = func(ctx context.Context) (net.Conn, error) {
		conn, err := detours.Dial(ctx, detour.Target{
			Endpoint: attempt.Endpoint.ID, StartedMillis: attempt.Endpoint.StartedMillis(),
			Service: x.service, Zone: attempt.Endpoint.Zone, Request: x.call.ID,
		})
		if err != nil {
			return nil, err
		}
		x.via, x.detour = conn.Peer, conn
		return conn, nil
	}
}

// viaUnknown stands for the peer of an attempt until one relays it.
const viaUnknown = "none"

// errPathCut is the cancellation cause of an attempt that hangs on this host's own path to
// the endpoints while peers reach them.
var errPathCut = errors.New("this host's path to the endpoints is cut")

// beginOnPath records that an attempt waits for an endpoint on this host's own path. It
// returns the context of the attempt, which ends if the attempt hangs there and may be
// repeated, and the function that ends the wait.
func (x *inflightCall) beginOnPath() (context.Context, func()) {
	x.wait = nil
	if x.via != "" {
		return x.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	var onCut func()
	if x.route.MayRepeat() {
		onCut = func() { cancel(errPathCut) }
	}
	wait := x.forwarder.config.Paths.Begin(x.service, onCut)
	x.wait = wait
	return ctx, func() {
		wait.End()
		cancel(nil)
	}
}

// recordReceived records that the endpoint sent something.
func (x *inflightCall) recordReceived() {
	if x.wait != nil {
		x.wait.Received()
		return
	}
	x.forwarder.config.Paths.RecordViaPeer(x.service)
}

// recordPathFailure has the path to the service checked, after a failure on it.
func (x *inflightCall) recordPathFailure() {
	if x.via == "" {
		x.forwarder.config.Paths.RecordFailure(x.ctx, x.service, nil)
	}
}

// chargeTo returns the outcome of a failed attempt for its endpoint, which is not to blame
// if this host's path to it is cut or no peer relays the connection.
func chargeTo(err error) endpoint.Outcome {
	var noPeer *detour.NoPeerError
	var unreached *detour.UnreachedError
	if errors.Is(err, errPathCut) || errors.As(err, &noPeer) || errors.As(err, &unreached) && unreached.Unknown {
		return endpoint.OutcomeCancelled
	}
	return endpoint.OutcomeFailed
}

// inVain reports whether a further attempt would fail as this one did: no host reaches the
// service's endpoints.
func (x *inflightCall) inVain(err error) bool {
	var noPeer *detour.NoPeerError
	return errors.As(err, &noPeer) && x.forwarder.config.Paths.State(x.service) == reach.Cut
}

// tellPeer tells the peer that relays the attempt what the endpoint said.
func (x *inflightCall) tellPeer(attempt *fleet.Attempt, reply Reply) {
	if x.detour != nil && (reply.Leaving || reply.Backoff > 0) {
		x.forwarder.config.Detours.Tell(x.detour, attempt.Endpoint, reply.Leaving, reply.Backoff)
	}
}
