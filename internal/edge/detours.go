package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/detour"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// detours connects this host to endpoints by way of peers, and peers by way of this host.
// It implements forward.Detours and exchange.Participant.
type detours struct {
	*detour.Client
	server *detour.Server
	host   *host
}

func newDetours(h *host) *detours {
	d := &detours{host: h}
	d.Client = detour.NewClient(detour.ClientConfig{Host: h.settings.Host.Name, Zone: h.settings.Host.Zone, Peers: d.peers})
	d.server = detour.NewServer(detour.ServerConfig{Resolve: d.resolve, Paths: h.paths, Accepts: h.stop.RelaysForPeers})
	h.exchange.SetRelayedHandler(d.handleRelayed)
	return d
}

// peers returns the reachable peers that relay connections.
func (d *detours) peers() []detour.Peer {
	var peers []detour.Peer
	for _, p := range d.host.exchange.ReachablePeers() {
		if p.Report.GetRelays() {
			peers = append(peers, detour.Peer{
				Name: p.Name, Address: p.Address, Zone: p.Report.GetZone(),
				Relaying: int(p.Report.GetRelaying()), Unreached: p.Report.GetUnreachedServices(),
			})
		}
	}
	return peers
}

var errUnknownEndpoint = errors.New("the endpoint is not listed, leaves or is another incarnation; read its entry in the store")

// resolve returns an endpoint to which connections of peers may be relayed.
func (d *detours) resolve(id string, startedMillis int64) (detour.Endpoint, error) {
	e, inBackoff, ok := d.host.endpoints.Find(id, startedMillis)
	switch {
	case !ok:
		return detour.Endpoint{}, errUnknownEndpoint
	case d.host.endpoints.Evacuated(e.Zone):
		return detour.Endpoint{}, detour.ErrEvacuated
	case inBackoff:
		return detour.Endpoint{}, detour.ErrBackoff
	}
	return detour.Endpoint{Address: e.Address, Service: e.Service}, nil
}

// Tell implements forward.Detours.
func (d *detours) Tell(by *detour.Conn, e fleet.Endpoint, leaving bool, backoff time.Duration) {
	request := &fleetv1.RelayedRequest{
		Endpoint: e.ID, StartedMillis: e.StartedMillis(), Leaving: leaving, BackoffMillis: backoff.Milliseconds(),
	}
	go func() {
		if err := d.host.exchange.TellRelayed(context.Background(), by.PeerAddress, request); err != nil {
			logrus.WithError(err).WithFields(logrus.Fields{"peer": by.Peer, "endpoint": e.ID}).
				Warn("peer not told what the endpoint said in a response that it relayed; it may send requests there")
		}
	}()
}

// handleRelayed records what an endpoint said in a response that this host relayed.
func (d *detours) handleRelayed(request *fleetv1.RelayedRequest) {
	id, started := request.GetEndpoint(), request.GetStartedMillis()
	if request.GetLeaving() {
		d.host.endpoints.RecordLeaving(id, started, "")
	}
	if wait := time.Duration(request.GetBackoffMillis()) * time.Millisecond; wait > 0 {
		if e, _, ok := d.host.endpoints.Find(id, started); ok {
			d.host.endpoints.BackOff(e, wait)
		}
	}
}

// FillReport implements exchange.Participant.
func (d *detours) FillReport(report *fleetv1.Report) {
	report.Relays = d.host.stop.RelaysForPeers()
	report.Relaying = int32(d.server.Relaying())
	report.UnreachedServices = d.host.paths.NotDirect()
}

// HandleReport implements exchange.Participant.
func (d *detours) HandleReport(*fleetv1.Report, bool) {}

// SetReachability implements exchange.Participant.
func (d *detours) SetReachability(exchange.Reachability) {}

// onPathChange is called when the state of the path to a service's endpoints changes.
// Idle connections to them may be dead. Their failures say nothing of the endpoints if
// peers reach them.
func (h *host) onPathChange(pool *upstream.Pool, service string, state reach.State, peerReaches bool) {
	if state == reach.Direct {
		return
	}
	for _, target := range h.endpoints.Targets(service) {
		pool.CloseIdle(target.Address)
	}
	if peerReaches {
		h.endpoints.ForgetFailures(service)
	}
}
