package exchange

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// KindHost holds the entries by which hosts find each other.
const KindHost objectstore.Kind = "bilberryslip-hosts"

const (
	// shortestInterval is the time between two rounds of reports in a small
	// fleet; what organisations may use beyond their rates grows with it.
	shortestInterval = 200 * time.Millisecond
	// perPeer stretches the interval in large fleets, so that reports take a
	// bounded part of a host's processor.
	perPeer = 8 * time.Millisecond
	// answerLife is how long one report serves as the answer to several peers;
	// it is short against the interval between rounds.
	answerLife = 50 * time.Millisecond
	// silentEvery is the number of rounds in which a silent host is called
	// once: it calls by itself as soon as it can.
	silentEvery = 4
	// callTimeout bounds a call to a peer.
	callTimeout = 600 * time.Millisecond
	// registerPause and registerLongest pace the attempts to write this
	// host's entry.
	registerPause   = 100 * time.Millisecond
	registerLongest = time.Second
)

// hostEntry is a host's entry in the store.
type hostEntry struct {
	// Address is IP:PORT of the host's peer service.
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Part takes part in the reports between hosts.
type Part interface {
	// Contribute adds to this host's own report.
	Contribute(report *fleetv1.Report)
	// Hear takes a peer's report. Joining tells that this process has just
	// started.
	Hear(report *fleetv1.Report, joining bool)
	// Reach is told before each round which hosts are in reach.
	Reach(reach Reach)
}

// Reach tells which hosts are in reach of this one.
type Reach struct {
	// Heard are the other hosts that were heard lately, Silent those that were
	// not and may be serving all the same.
	Heard, Silent []string
	// Interval is the time between two rounds of reports.
	Interval time.Duration
}

// Part returns the part of the hosts in reach, this one included.
func (r Reach) Part() float64 {
	return float64(len(r.Heard)+1) / float64(len(r.Heard)+len(r.Silent)+1)
}

// Config sets a Service.
type Config struct {
	Store objectstore.Store
	// Host is this host's name, Incarnation that of this process.
	Host, Incarnation string
	// Zone is the host's availability zone.
	Zone string
	// Address is IP:PORT of this host's peer service.
	Address string
}

// Service reports to the other hosts. It implements suture.Service,
// mirror.Handler for KindHost, and the peer service.
type Service struct {
	config  Config
	started time.Time
	client  *http.Client
	parts   []Part
	// follow answers hosts that follow this one; nil refuses them.
	follow func(ctx context.Context, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error)
	// place answers requests for models and adapters; nil refuses them.
	place func(ctx context.Context, request *fleetv1.PlaceRequest) *fleetv1.PlaceResponse

	mu      sync.Mutex
	roster  *roster
	clients map[string]fleetv1.Fleet
	// calling holds the peers that a report is on its way to.
	calling map[string]bool
	// rounds counts the rounds of reports.
	rounds int
	// answer is the last report made for an answer, at answeredAt.
	answer     *fleetv1.Report
	answeredAt time.Time
}

var _ fleetv1.Fleet = (*Service)(nil)

// New returns a service.
func New(cfg Config) *Service {
	transport := &http.Transport{DialContext: upstream.Dial, MaxIdleConnsPerHost: 2, DisableCompression: true}
	return &Service{
		config: cfg, started: time.Now(), client: &http.Client{Transport: transport},
		roster: newRoster(cfg.Host), clients: make(map[string]fleetv1.Fleet), calling: make(map[string]bool),
	}
}

// AddPart adds a part; it must be called before Serve.
func (s *Service) AddPart(p Part) { s.parts = append(s.parts, p) }

// ServePlacement sets what answers requests for models and adapters; it must be called
// before Serve.
func (s *Service) ServePlacement(answer func(context.Context, *fleetv1.PlaceRequest) *fleetv1.PlaceResponse) {
	s.place = answer
}

// ServeFollowers sets what answers hosts that follow this one; it must be
// called before Serve.
func (s *Service) ServeFollowers(answer func(context.Context, *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error)) {
	s.follow = answer
}

// Handler serves the other hosts.
func (s *Service) Handler() http.Handler { return fleetv1.NewFleetServer(s) }

// String names the service in logs.
func (s *Service) String() string { return "exchange" }

// Serve registers this host and reports to the others until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	go s.register(ctx)
	for {
		s.round(ctx)
		if !retry.Sleep(ctx, s.Interval()) {
			return ctx.Err()
		}
	}
}

// Interval is the time between two rounds of reports.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.interval()
}

// register writes this host's entry, whatever an earlier process left there.
func (s *Service) register(ctx context.Context) {
	value, err := json.Marshal(hostEntry{Address: s.config.Address, Incarnation: s.config.Incarnation})
	if err != nil {
		logrus.WithError(err).Error("host entry not encoded")
		return
	}
	pause := retry.NewBackOff(registerPause, registerLongest)
	for {
		err := s.writeEntry(ctx, value)
		if err == nil {
			return
		}
		logrus.WithError(err).Warn("host not registered; trying again")
		if !retry.Sleep(ctx, pause.NextBackOff()) {
			return
		}
	}
}

func (s *Service) writeEntry(ctx context.Context, value json.RawMessage) error {
	store, writeID := s.config.Store, uuid.NewString()
	_, err := store.Create(ctx, KindHost, s.config.Host, writeID, value)
	var conflict *objectstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if conflict.Current.WriteID == writeID {
		return nil
	}
	_, err = store.Update(ctx, KindHost, s.config.Host, conflict.Current.Version, writeID, value)
	return err
}

// Replace implements mirror.Handler.
func (s *Service) Replace(listing objectstore.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range listing.Items {
		s.list(item)
	}
}

// Apply implements mirror.Handler.
func (s *Service) Apply(event objectstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Type == objectstore.EventDelete {
		s.roster.unlist(event.Object.Name)
		return
	}
	s.list(event.Object)
}

func (s *Service) list(object objectstore.Object) {
	var entry hostEntry
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		logrus.WithError(err).WithField("name", object.Name).Warn("host entry ignored; remove it in the store")
		return
	}
	s.roster.list(time.Now(), object.Name, entry.Address, entry.Incarnation)
}

// round reports to all peers at once. It doesn't wait for those that are slow
// to answer, or don't; they get no further report meanwhile.
func (s *Service) round(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	peers := s.roster.addresses(now, s.rounds%silentEvery == 0)
	s.rounds++
	reach := s.roster.reach(now)
	leader := ""
	if p := s.roster.leader(now); p != nil {
		leader = p.name
	}
	s.mu.Unlock()
	for _, part := range s.parts {
		part.Reach(reach)
	}
	if len(peers) == 0 {
		return
	}
	report := s.report()
	// Only the holder of the lease, or who may become it soon, asks for demand.
	brief := proto.CloneOf(report)
	leaveDemandOut(brief)
	for _, p := range peers {
		told := brief
		if leader == "" || p.name == leader {
			told = report
		}
		if s.beginCall(p.name) {
			go func() {
				defer s.endCall(p.name)
				s.reportTo(ctx, p, told)
			}()
		}
	}
}

// beginCall notes that a report is on its way to a peer, unless one is.
func (s *Service) beginCall(peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calling[peer] {
		return false
	}
	s.calling[peer] = true
	return true
}

func (s *Service) endCall(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calling, peer)
}

// leaveDemandOut takes demand out of a report.
func leaveDemandOut(report *fleetv1.Report) { report.Demand, report.WithoutDemand = nil, true }

func (s *Service) report() *fleetv1.Report {
	report := &fleetv1.Report{Host: s.config.Host, Incarnation: s.config.Incarnation, Address: s.config.Address, Zone: s.config.Zone, AgeMillis: time.Since(s.started).Milliseconds()}
	for _, part := range s.parts {
		part.Contribute(report)
	}
	return report
}

func (s *Service) reportTo(ctx context.Context, p peer, report *fleetv1.Report) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := s.peerClient(p.address).Exchange(ctx, report)
	if err != nil {
		logrus.WithError(err).WithField("peer", p.name).Debug("peer not reached")
		return
	}
	s.hear(asked, answer)
}

func (s *Service) peerClient(address string) fleetv1.Fleet {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[address]
	if !ok {
		c = fleetv1.NewFleetProtobufClient("http://"+address, s.client)
		s.clients[address] = c
	}
	return c
}

// joinTime is for how long a process counts as one that has just started.
const joinTime = 2 * time.Second

func (s *Service) hear(asked time.Time, report *fleetv1.Report) {
	s.mu.Lock()
	wasHeard := false
	if before, ok := s.roster.peers[report.GetHost()]; ok {
		wasHeard = s.roster.inReach(asked, before)
	}
	p := s.roster.hear(asked, report)
	s.mu.Unlock()
	if p == nil {
		return
	}
	if !wasHeard {
		logrus.WithFields(logrus.Fields{"peer": p.name, "address": p.address}).Info("peer in reach")
	}
	joining := time.Since(s.started) < joinTime
	for _, part := range s.parts {
		part.Hear(report, joining)
	}
}

// DumpState returns the peers for the state dump.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	type state struct {
		Name, Address string
		HeardMS       int64
	}
	list := []state{}
	for _, p := range s.roster.addresses(now, true) {
		list = append(list, state{p.name, p.address, now.Sub(p.heard).Milliseconds()})
	}
	return list
}
