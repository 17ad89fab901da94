// Package admin is the operators' service: it applies changes to the
// configuration, and tells what is in force, what was decided and how the
// hosts are.
package admin

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// defaultWait is how long Apply waits for hosts to confirm.
	defaultWait = 2 * time.Second
	// maxWait bounds how long Apply waits for hosts to confirm.
	maxWait = 30 * time.Second
	// confirmInterval is the time between looks at the hosts' revisions.
	confirmInterval = 20 * time.Millisecond
)

// Log is the configuration log.
type Log interface {
	config.Source
	// Loaded reports whether any configuration is known.
	Loaded() bool
	// Apply writes a change; see config.Log.
	Apply(ctx context.Context, mutations []*apiv1.Mutation, changeID, author string) (int64, error)
	// Sync brings the snapshot up to date with the platform.
	Sync(ctx context.Context) error
}

// Host is what is known of one host, this one included.
type Host struct {
	Name     string
	Zone     string
	Revision int64
	// Age is the time since the host was last heard of.
	Age     time.Duration
	Alive   bool
	Leaving bool
}

// Membership tells what is known of the hosts.
type Membership interface {
	Hosts() []Host
}

// Peers reaches other hosts.
type Peers interface {
	// Drain makes a host leave.
	Drain(ctx context.Context, host, operator string) error
	// State dumps a host's state as JSON.
	State(ctx context.Context, host string) (string, error)
	// Decisions asks all other hosts, and names those that did not answer.
	Decisions(ctx context.Context, req *apiv1.DecisionsRequest) (found []*apiv1.Decision, missing []string)
}

// Decisions is this host's record of decisions, with what it reads of the
// platform's.
type Decisions interface {
	Query(ctx context.Context, req *apiv1.DecisionsRequest) ([]*apiv1.Decision, error)
}

// Self is this host.
type Self interface {
	// Drain makes this host leave.
	Drain(operator string)
	// State dumps this host's state as JSON.
	State() (string, error)
}

// Forgetter frees what a dead host held.
type Forgetter interface {
	ForgetHost(ctx context.Context, host, operator string) error
}

// Config is what a Server needs. All fields are required but Clock.
type Config struct {
	// Host is this host's name.
	Host       string
	Log        Log
	Membership Membership
	Peers      Peers
	Decisions  Decisions
	Self       Self
	Forgetter  Forgetter
	// Availability tells of the platform.
	Availability func() objectstore.Availability
	// Clock tells the time. Nil means time.Now.
	Clock func() time.Time
}

// Server implements the operators' service.
type Server struct {
	config Config
}

var _ apiv1.Admin = (*Server)(nil)

// NewServer returns a server.
func NewServer(config Config) *Server {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Server{config: config}
}

// Apply implements apiv1.Admin.
func (s *Server) Apply(ctx context.Context, req *apiv1.ApplyRequest) (*apiv1.ApplyResponse, error) {
	if err := s.checkLoaded(); err != nil {
		return nil, err
	}
	if req.DryRun {
		return s.dryRun(ctx, req)
	}
	return s.applyAndWait(ctx, req.Mutations, req.ChangeId, req.WaitMillis)
}

// checkLoaded refuses while nothing is known of the configuration.
func (s *Server) checkLoaded() error {
	if s.config.Log.Loaded() {
		return nil
	}
	err := twirp.Unavailable.Error("this host has no configuration yet, neither from the platform nor from a peer; retry, or ask another host")
	return err.WithMeta(MetaRetryAfter, "2")
}

func (s *Server) dryRun(ctx context.Context, req *apiv1.ApplyRequest) (*apiv1.ApplyResponse, error) {
	if err := s.config.Log.Sync(ctx); err != nil {
		return nil, unavailable(err)
	}
	before := s.config.Log.Current()
	after, err := config.Validate(before, req.Mutations)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &apiv1.ApplyResponse{Revision: before.Revision(), Difference: difference(before, after, req.Mutations)}, nil
}

func (s *Server) applyAndWait(ctx context.Context, mutations []*apiv1.Mutation, changeID string, waitMillis int32) (*apiv1.ApplyResponse, error) {
	if changeID == "" {
		changeID = uuid.NewString()
	}
	revision, err := s.config.Log.Apply(ctx, mutations, changeID, OperatorName(ctx))
	if err != nil {
		return nil, toTwirp(err).WithMeta(MetaChangeID, changeID)
	}
	return s.awaitConfirmation(ctx, revision, changeID, waitMillis), nil
}

// awaitConfirmation waits until every live host has the revision in force, or
// the time is up, and tells which have.
func (s *Server) awaitConfirmation(ctx context.Context, revision int64, changeID string, waitMillis int32) *apiv1.ApplyResponse {
	ctx, cancel := context.WithTimeout(ctx, waitTime(waitMillis))
	defer cancel()
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		resp, complete := s.confirmations(revision)
		resp.ChangeId = changeID
		if complete {
			return resp
		}
		select {
		case <-ctx.Done():
			return resp
		case <-ticker.C:
		}
	}
}

func waitTime(millis int32) time.Duration {
	if millis <= 0 {
		return defaultWait
	}
	return min(time.Duration(millis)*time.Millisecond, maxWait)
}

// confirmations sorts the hosts by whether they have the revision in force.
// It is complete when no live host is left; one that isn't alive is reported
// but not waited for.
func (s *Server) confirmations(revision int64) (resp *apiv1.ApplyResponse, complete bool) {
	resp = &apiv1.ApplyResponse{Revision: revision}
	complete = true
	for _, host := range s.config.Membership.Hosts() {
		if host.Revision >= revision {
			resp.Confirmed = append(resp.Confirmed, host.revision())
			continue
		}
		resp.Unconfirmed = append(resp.Unconfirmed, host.revision())
		complete = complete && !host.Alive
	}
	return resp, complete
}

func (h Host) revision() *apiv1.HostRevision {
	return &apiv1.HostRevision{
		Host: h.Name, Zone: h.Zone, Revision: h.Revision,
		AgeMillis: h.Age.Milliseconds(), Leaving: h.Leaving,
	}
}

// Get implements apiv1.Admin.
func (s *Server) Get(_ context.Context, req *apiv1.GetRequest) (*apiv1.GetResponse, error) {
	if err := s.checkLoaded(); err != nil {
		return nil, err
	}
	snapshot := s.config.Log.Current()
	obj := snapshot.Object(req.Kind, req.Name)
	if obj == nil {
		return nil, notFound(req.Kind, req.Name)
	}
	return &apiv1.GetResponse{Object: obj, Revision: snapshot.Revision()}, nil
}

// List implements apiv1.Admin.
func (s *Server) List(_ context.Context, req *apiv1.ListRequest) (*apiv1.ListResponse, error) {
	if err := s.checkLoaded(); err != nil {
		return nil, err
	}
	snapshot := s.config.Log.Current()
	return &apiv1.ListResponse{Objects: snapshot.Objects(req.Kind), Revision: snapshot.Revision()}, nil
}
