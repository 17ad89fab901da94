// Package admin implements the operators' service. It applies configuration
// changes and serves queries for the configuration in force, the recorded
// decisions and the status of the hosts.
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
	// defaultWait is how long a change waits for hosts to confirm it when the
	// request sets no wait.
	defaultWait = 2 * time.Second
	// maxWait is the longest wait for confirmations that a request may set.
	maxWait = 30 * time.Second
	// confirmInterval is how often the hosts' revisions are checked during the
	// wait.
	confirmInterval = 20 * time.Millisecond
)

// Log is the configuration log; see config.Log.
type Log interface {
	config.Source
	// Loaded reports whether a configuration has been loaded, from the platform
	// or a peer.
	Loaded() bool
	// Apply writes a change and returns its revision. It is idempotent by
	// changeID.
	Apply(ctx context.Context, mutations []*apiv1.Mutation, changeID, author string) (int64, error)
	// Sync brings the snapshot up to date with the platform, or returns an
	// error if the platform can't be read.
	Sync(ctx context.Context) error
}

// Host is the status of one host as this host sees it. This host has an entry
// too.
type Host struct {
	Name string
	Zone string
	// Revision is the configuration revision in force on the host.
	Revision int64
	// Age is the time since the host was last seen.
	Age   time.Duration
	Alive bool
	// Draining reports whether the host is draining before shutdown.
	Draining bool
}

// Membership lists the hosts of the deployment.
type Membership interface {
	// Hosts returns all known hosts, including this one.
	Hosts() []Host
}

// Peers sends requests to other hosts.
type Peers interface {
	// Drain starts the graceful shutdown of a host on behalf of an operator.
	Drain(ctx context.Context, host, operator string) error
	// State returns the state dump of a host as JSON.
	State(ctx context.Context, host string) (string, error)
	// Decisions queries all other hosts, and returns the names of those that
	// did not respond.
	Decisions(ctx context.Context, req *apiv1.DecisionsRequest) (found []*apiv1.Decision, missing []string)
}

// Decisions queries the decisions recorded by this host and those stored on
// the platform.
type Decisions interface {
	// Query returns the matching decisions, newest first.
	Query(ctx context.Context, req *apiv1.DecisionsRequest) ([]*apiv1.Decision, error)
}

// Self controls and inspects this host.
type Self interface {
	// Drain starts the graceful shutdown of this host on behalf of an operator.
	Drain(operator string)
	// State returns the state dump of this host as JSON.
	State() (string, error)
}

// Forgetter releases the resources held by dead hosts.
type Forgetter interface {
	// ForgetHost releases the rate shares of a host that an operator declares
	// dead, and marks the orders it sent to engines as ended.
	ForgetHost(ctx context.Context, host, operator string) error
}

// Config configures a Server. All fields but Clock are required.
type Config struct {
	// Host is this host's name.
	Host       string
	Log        Log
	Membership Membership
	Peers      Peers
	Decisions  Decisions
	Self       Self
	Forgetter  Forgetter
	// Availability returns whether the platform is available and when it last
	// responded.
	Availability func() objectstore.Availability
	// Clock returns the current time. Nil means time.Now.
	Clock func() time.Time
}

// Server implements the operators' service. It is safe for concurrent use. It
// does not authenticate requests; wrap its handler with RequireOperator.
type Server struct {
	config Config
}

var _ apiv1.Admin = (*Server)(nil)

// NewServer returns a Server. Serve it through apiv1.NewAdminServer.
func NewServer(config Config) *Server {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Server{config: config}
}

// Apply implements apiv1.Admin. It validates and writes a change, and then waits
// for the live hosts to confirm it; a dry run only validates it and returns the
// difference.
func (s *Server) Apply(ctx context.Context, req *apiv1.ApplyRequest) (*apiv1.ApplyResponse, error) {
	if err := s.checkLoaded(); err != nil {
		return nil, err
	}
	if req.DryRun {
		return s.dryRun(ctx, req)
	}
	return s.applyAndWait(ctx, req.Mutations, req.ChangeId, req.WaitMillis)
}

// checkLoaded returns an unavailable error until a configuration is loaded.
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

// applyAndWait writes a change, under a new identifier if changeID is empty, and
// waits for confirmations.
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

// awaitConfirmation waits until every live host has the revision in force, up
// to the wait time, and returns which hosts have and have not confirmed it.
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

// confirmations returns the hosts that have the revision in force and those
// that do not. complete reports whether all live hosts have it; hosts that are
// not alive are listed but not waited for.
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
		AgeMillis: h.Age.Milliseconds(), Leaving: h.Draining,
	}
}

// Get implements apiv1.Admin. It reads the snapshot in force on this host.
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

// List implements apiv1.Admin. It reads the snapshot in force on this host.
func (s *Server) List(_ context.Context, req *apiv1.ListRequest) (*apiv1.ListResponse, error) {
	if err := s.checkLoaded(); err != nil {
		return nil, err
	}
	snapshot := s.config.Log.Current()
	return &apiv1.ListResponse{Objects: snapshot.Objects(req.Kind), Revision: snapshot.Revision()}, nil
}
