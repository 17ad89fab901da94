package admin

import (
	"context"
	"sort"

	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// defaultDecisions is the maximum number of decisions returned when the request
// sets no limit.
const defaultDecisions = 100

// Status implements apiv1.Admin. The revision in the response is the highest
// that any known host has in force.
func (s *Server) Status(context.Context, *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	availability := s.config.Availability()
	resp := &apiv1.StatusResponse{
		Revision:          s.config.Log.Current().Revision(),
		PlatformAvailable: availability.Available,
		PlatformAgeMillis: -1,
	}
	if !availability.LastResponse.IsZero() {
		resp.PlatformAgeMillis = s.config.Clock().Sub(availability.LastResponse).Milliseconds()
	}
	for _, host := range s.config.Membership.Hosts() {
		resp.Hosts = append(resp.Hosts, host.revision())
		resp.Revision = max(resp.Revision, host.Revision)
	}
	return resp, nil
}

// State implements apiv1.Admin. It returns the state dump of the named host, or
// of this host if the request names none.
func (s *Server) State(ctx context.Context, req *apiv1.StateRequest) (*apiv1.StateResponse, error) {
	var text string
	var err error
	if req.Host == "" || req.Host == s.config.Host {
		text, err = s.config.Self.State()
	} else {
		if err := s.checkHost(req.Host); err != nil {
			return nil, err
		}
		text, err = s.config.Peers.State(ctx, req.Host)
	}
	if err != nil {
		return nil, hostUnavailable(req.Host, err)
	}
	return &apiv1.StateResponse{Json: text}, nil
}

// DrainHost implements apiv1.Admin. It starts the graceful shutdown of the host
// and does not wait for its end.
func (s *Server) DrainHost(ctx context.Context, req *apiv1.DrainHostRequest) (*apiv1.DrainHostResponse, error) {
	if req.Name == s.config.Host {
		s.config.Self.Drain(OperatorName(ctx))
		return &apiv1.DrainHostResponse{}, nil
	}
	if err := s.checkHost(req.Name); err != nil {
		return nil, err
	}
	if err := s.config.Peers.Drain(ctx, req.Name, OperatorName(ctx)); err != nil {
		return nil, hostUnavailable(req.Name, err)
	}
	return &apiv1.DrainHostResponse{}, nil
}

// ForgetHost implements apiv1.Admin. It refuses a host that is alive, which
// would continue to use the resources freed for others.
func (s *Server) ForgetHost(ctx context.Context, req *apiv1.ForgetHostRequest) (*apiv1.ForgetHostResponse, error) {
	if req.Name == "" {
		return nil, twirp.InvalidArgument.Error("name: the host is missing; name it as status shows it")
	}
	for _, host := range s.config.Membership.Hosts() {
		if host.Name == req.Name && host.Alive {
			return nil, twirp.FailedPrecondition.Error("host " + req.Name + " is alive; drain it, or stop it first")
		}
	}
	if err := s.config.Forgetter.ForgetHost(ctx, req.Name, OperatorName(ctx)); err != nil {
		return nil, unavailable(err)
	}
	return &apiv1.ForgetHostResponse{}, nil
}

// checkHost returns a not-found error unless membership lists the host.
func (s *Server) checkHost(name string) error {
	for _, host := range s.config.Membership.Hosts() {
		if host.Name == name {
			return nil
		}
	}
	return twirp.NotFound.Error("host "+name+" is not known here; status lists the hosts").WithMeta(MetaName, name)
}

func hostUnavailable(name string, err error) twirp.Error {
	return twirp.Unavailable.Error("host "+name+" did not answer: "+err.Error()+"; check that it runs, and retry").
		WithMeta(MetaName, name).
		WithMeta(MetaRetryAfter, seconds(readRetryAfter))
}

// Decisions implements apiv1.Admin. It merges the records of this host, the
// platform and the other hosts, and lists the hosts that did not respond.
func (s *Server) Decisions(ctx context.Context, req *apiv1.DecisionsRequest) (*apiv1.DecisionsResponse, error) {
	own, err := s.config.Decisions.Query(ctx, req)
	if err != nil {
		return nil, unavailable(err)
	}
	others, missing := s.config.Peers.Decisions(ctx, req)
	return &apiv1.DecisionsResponse{
		Decisions:    mergeDecisions(append(own, others...), int(req.Limit)),
		MissingHosts: missing,
	}, nil
}

// mergeDecisions removes duplicates and returns the newest decisions up to the
// limit, newest first.
func mergeDecisions(found []*apiv1.Decision, limit int) []*apiv1.Decision {
	if limit <= 0 {
		limit = defaultDecisions
	}
	seen := make(map[string]bool, len(found))
	merged := make([]*apiv1.Decision, 0, len(found))
	for _, decision := range found {
		if !seen[decision.Id] {
			seen[decision.Id] = true
			merged = append(merged, decision)
		}
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].UnixMillis > merged[j].UnixMillis })
	return merged[:min(limit, len(merged))]
}
