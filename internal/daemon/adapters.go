package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/admin"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/decisions"
	"bilberryslip.example/bilberryslip/internal/membership"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/peer"
)

// peerCallTimeout bounds a call to another host on behalf of an operator.
const peerCallTimeout = 3 * time.Second

// directory looks up other hosts by name and sends them requests.
type directory struct {
	members *membership.Service
	pool    *peer.Pool
}

// url returns the peer URL of a host that is alive.
func (d *directory) url(name string) (string, error) {
	for _, host := range d.members.Hosts() {
		if host.Name == name && host.Alive {
			return host.PeerURL, nil
		}
	}
	return "", errors.Newf("host %q is not known to be alive; check its name and health with 'bilberryslip status'", name)
}

// Changes implements config.Peers. It requests the changes from the live host
// with the highest configuration revision.
func (d *directory) Changes(ctx context.Context, request *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error) {
	var best membership.Host
	for _, host := range d.members.Hosts() {
		if host.Alive && (best.PeerURL == "" || host.ConfigRevision > best.ConfigRevision) {
			best = host
		}
	}
	if best.PeerURL == "" {
		return nil, errors.New("no other host is known to be alive; check peers.static in the settings and the platform's host list")
	}
	return d.pool.Changes(ctx, best.PeerURL, request)
}

// Drain implements admin.Peers. The host must be alive.
func (d *directory) Drain(ctx context.Context, host, operator string) error {
	url, err := d.url(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	_, err = d.pool.Drain(ctx, url, &peerv1.DrainRequest{Operator: operator})
	return err
}

// State implements admin.Peers. The host must be alive.
func (d *directory) State(ctx context.Context, host string) (string, error) {
	url, err := d.url(host)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	response, err := d.pool.State(ctx, url, &apiv1.StateRequest{Host: host})
	return response.GetJson(), err
}

// Decisions implements admin.Peers. It queries all other hosts in parallel.
func (d *directory) Decisions(ctx context.Context, request *apiv1.DecisionsRequest) (found []*apiv1.Decision, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	hosts := d.members.Hosts()
	responses := make([]*apiv1.DecisionsResponse, len(hosts))
	var group errgroup.Group
	for i, host := range hosts {
		group.Go(func() error {
			responses[i], _ = d.pool.Decisions(ctx, host.PeerURL, request)
			return nil
		})
	}
	_ = group.Wait()
	for i, response := range responses {
		if response == nil {
			missing = append(missing, hosts[i].Name)
			continue
		}
		found = append(found, response.Decisions...)
	}
	return found, missing
}

// adminMembership lists the hosts, including this one, for operators.
type adminMembership struct {
	members *membership.Service
	log     *config.Log
	now     func() time.Time
}

// Hosts implements admin.Membership.
func (m *adminMembership) Hosts() []admin.Host {
	self := m.members.Self()
	hosts := []admin.Host{{
		Name: self.Name, Zone: self.Zone, Revision: m.log.Current().Revision(), Alive: true, Draining: self.Leaving,
	}}
	for _, host := range m.members.Hosts() {
		hosts = append(hosts, admin.Host{
			Name: host.Name, Zone: host.Zone, Revision: host.ConfigRevision,
			Age: m.now().Sub(host.LastHeard), Alive: host.Alive, Draining: host.Leaving,
		})
	}
	return hosts
}

// alive reports whether the host incarnation that owns a claim is known to be
// alive.
func (d *directory) alive(owner claims.Owner) bool {
	for _, host := range append(d.members.Hosts(), d.members.Self()) {
		if host.Name == owner.Host && host.Incarnation == owner.Incarnation {
			return host.Alive || host.Name == d.members.Self().Name
		}
	}
	return false
}

// decisionQuery serves decision queries of operators and peers.
type decisionQuery struct {
	recorder *decisions.Recorder
}

// Query implements admin.Decisions. It merges the decisions in this host's
// memory with those stored on the platform. If the platform is unavailable, it
// returns only those in memory.
func (q *decisionQuery) Query(ctx context.Context, request *apiv1.DecisionsRequest) ([]*apiv1.Decision, error) {
	own := q.recorder.Query(request)
	stored, err := q.recorder.QueryStored(ctx, request)
	if err != nil {
		var unavailable *objectstore.UnavailableError
		if errors.As(err, &unavailable) {
			return own, nil
		}
		return nil, err
	}
	return decisions.Merge(request, own, stored), nil
}

// Decisions implements peer.DecisionSource. It returns only decisions in this
// host's memory; the host that sent the query reads the platform itself.
func (q *decisionQuery) Decisions(_ context.Context, request *apiv1.DecisionsRequest) (*apiv1.DecisionsResponse, error) {
	return &apiv1.DecisionsResponse{Decisions: q.recorder.Query(request)}, nil
}

// changeSource serves configuration changes to peers.
type changeSource struct {
	log *config.Log
}

// Changes implements peer.ChangeSource.
func (c *changeSource) Changes(_ context.Context, request *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error) {
	return c.log.ChangesAfter(request.AfterRevision, int(request.Limit)), nil
}

// selfControl drains this host and dumps its state on request.
type selfControl struct {
	dump *stateDump
	// requestShutdown requests a graceful shutdown; repeated calls have no
	// effect.
	requestShutdown func(operator string)
}

// Drain implements admin.Self.
func (s *selfControl) Drain(operator string) { s.requestShutdown(operator) }

// State implements admin.Self.
func (s *selfControl) State() (string, error) { return s.dump.StateJSON() }

// peerControl adapts selfControl to the interfaces for requests of peers.
type peerControl struct {
	*selfControl
}

// State implements peer.StateSource.
func (p peerControl) State(context.Context, *apiv1.StateRequest) (*apiv1.StateResponse, error) {
	document, err := p.StateJSON()
	if err != nil {
		return nil, err
	}
	return &apiv1.StateResponse{Json: document}, nil
}

// Drain implements peer.Drainer.
func (p peerControl) Drain(_ context.Context, request *peerv1.DrainRequest) (*peerv1.DrainResponse, error) {
	p.requestShutdown(request.Operator)
	return &peerv1.DrainResponse{}, nil
}

// StateJSON returns this host's state dump as a JSON document.
func (p peerControl) StateJSON() (string, error) { return p.dump.StateJSON() }
