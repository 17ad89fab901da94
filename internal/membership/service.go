package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	gossipInterval = time.Second
	gossipFanOut   = 3
	// listInterval is the time between two reads of the host list, and
	// listRetryInterval the time while the list does not name this host yet.
	listInterval      = 6 * time.Second
	listRetryInterval = 2 * time.Second
	listTimeout       = 3 * time.Second
)

// Gossiper sends a gossip message to a peer.
type Gossiper interface {
	Gossip(ctx context.Context, baseURL string, request *peerv1.GossipRequest) (*peerv1.GossipResponse, error)
}

// Extension lets another package send its own state in gossip messages.
type Extension interface {
	// FillRequest adds the extension's data to a message before this host sends
	// it.
	FillRequest(request *peerv1.GossipRequest)
	// HandleRequest processes a peer's message and adds to the response.
	HandleRequest(request *peerv1.GossipRequest, response *peerv1.GossipResponse)
	// HandleResponse processes a peer's response to a request sent at sentAt.
	HandleResponse(response *peerv1.GossipResponse, sentAt time.Time)
	// Targets returns the base URLs of peers to gossip with in this round, in
	// addition to those that the table chooses.
	Targets() []string
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Table *Table
	Peers Gossiper
	// Lister reads the platform's host list. If nil, there is no list.
	Lister objectstore.HostLister
	// Now returns the current time. If nil, time.Now is used.
	Now func() time.Time
	// Interval is the time between rounds of gossip. Zero means 1 s.
	Interval time.Duration
}

// Service keeps a Table up to date by gossip with peers and from the platform's
// host list. It is safe for concurrent use.
type Service struct {
	config ServiceConfig
	mu     sync.Mutex
	table  *Table
	random *rand.Rand
	// listed are the hosts in the platform's host list, as read at listReadAt.
	listed     []string
	listReadAt time.Time
	extensions []Extension
	revision   func() int64
}

// NewService returns a service for config.Table. The caller must not use the
// table afterwards.
func NewService(config ServiceConfig) *Service {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Interval == 0 {
		config.Interval = gossipInterval
	}
	return &Service{
		config: config, table: config.Table,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Extend adds an extension. It must be called before Serve.
func (s *Service) Extend(extension Extension) { s.extensions = append(s.extensions, extension) }

// ReportRevision sets the function that returns the configuration revision which
// this host reports in gossip. It must be called before Serve.
func (s *Service) ReportRevision(revision func() int64) { s.revision = revision }

// Self returns this host.
func (s *Service) Self() Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Hosts returns the other hosts, sorted by name.
func (s *Service) Hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Hosts(s.config.Now())
}

// SetDraining makes this host report that it is draining. The process can't
// revoke it.
func (s *Service) SetDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetDraining()
}

// Gossip merges a peer's gossip message and returns the response. It implements
// peer.Gossiper.
func (s *Service) Gossip(_ context.Context, request *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	response := &peerv1.GossipResponse{}
	s.mu.Lock()
	s.mergeDigests(request.GetSelf(), request.GetHosts())
	response.Self = s.selfDigest()
	response.Hosts = s.table.Digests(s.config.Now(), s.random)
	s.mu.Unlock()
	for _, extension := range s.extensions {
		extension.HandleRequest(request, response)
	}
	return response, nil
}

// Serve gossips at each interval until ctx is cancelled.
func (s *Service) Serve(ctx context.Context) error {
	gossip := time.NewTicker(s.config.Interval)
	defer gossip.Stop()
	list := time.NewTimer(0)
	defer list.Stop()
	s.Round(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-list.C:
			go s.refreshHostList(ctx)
			list.Reset(s.listPause())
		case <-gossip.C:
			s.Round(ctx)
		}
	}
}

// Round advances the heartbeat and starts to gossip with a few peers. It doesn't
// wait for their responses.
func (s *Service) Round(ctx context.Context) {
	s.mu.Lock()
	s.table.AdvanceHeartbeat(s.config.Now())
	targets := s.table.Targets(s.config.Now(), gossipFanOut, s.random)
	s.mu.Unlock()
	for _, extension := range s.extensions {
		targets = append(targets, extension.Targets()...)
	}
	sent := make(map[string]bool, len(targets))
	for _, url := range targets {
		if !sent[url] {
			sent[url] = true
			go s.gossipWith(ctx, url)
		}
	}
}

func (s *Service) gossipWith(ctx context.Context, url string) {
	request := &peerv1.GossipRequest{}
	s.mu.Lock()
	request.Self = s.selfDigest()
	request.Hosts = s.table.Digests(s.config.Now(), s.random)
	s.mu.Unlock()
	for _, extension := range s.extensions {
		extension.FillRequest(request)
	}
	sentAt := s.config.Now()
	response, err := s.config.Peers.Gossip(ctx, url, request)
	if err != nil {
		logrus.WithFields(logrus.Fields{"peer": url, "error": err.Error()}).Debug("gossip failed")
		return
	}
	s.mu.Lock()
	s.mergeDigests(response.GetSelf(), response.GetHosts())
	s.mu.Unlock()
	for _, extension := range s.extensions {
		extension.HandleResponse(response, sentAt)
	}
}

func (s *Service) selfDigest() *peerv1.HostDigest {
	if s.revision != nil {
		s.table.SetConfigRevision(s.revision())
	}
	return s.table.SelfDigest()
}

func (s *Service) mergeDigests(self *peerv1.HostDigest, hosts []*peerv1.HostDigest) {
	now := s.config.Now()
	s.table.Merge(now, self)
	for _, digest := range hosts[:min(len(hosts), MaxDigests)] {
		s.table.Merge(now, digest)
	}
}

// listPause returns the time until the next read of the host list.
func (s *Service) listPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.listed, s.table.Self().Name) {
		return listInterval
	}
	return listRetryInterval
}

func (s *Service) refreshHostList(ctx context.Context) {
	if s.config.Lister == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	readAt := s.config.Now()
	listed, err := s.config.Lister.Hosts(ctx)
	if err != nil {
		logrus.WithError(err).Debug("host list unavailable")
		return
	}
	urls := make(map[string]string, len(listed))
	names := make([]string, 0, len(listed))
	for _, host := range listed {
		urls[host.Name] = host.PeerURL
		names = append(names, host.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetHostList(urls)
	if readAt.After(s.listReadAt) {
		s.listed, s.listReadAt = names, readAt
	}
}

// ListedHosts returns the names of the hosts in the platform's host list as last
// read, and when that read was sent. The time is zero if no read succeeded yet.
func (s *Service) ListedHosts() (names []string, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed, s.listReadAt
}

// State is the state that DumpState returns.
type State struct {
	Self  Host   `json:"self"`
	Hosts []Host `json:"hosts"`
	// AgeSeconds maps a host to the seconds since its heartbeat last advanced.
	AgeSeconds map[string]float64 `json:"ageSeconds"`
}

// DumpState returns a State for the state dump.
func (s *Service) DumpState() any {
	now := s.config.Now()
	state := State{Self: s.Self(), Hosts: s.Hosts(), AgeSeconds: make(map[string]float64)}
	for _, host := range state.Hosts {
		state.AgeSeconds[host.Name] = now.Sub(host.LastHeard).Seconds()
	}
	return state
}
