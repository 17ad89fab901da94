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
	"bilberryslip.example/bilberryslip/internal/boundedhttp"
	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/responsehead"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// KindHost is the kind of the store objects through which hosts discover each
// other: one hostEntry per host.
const KindHost objectstore.Kind = "bilberryslip-hosts"

const (
	// minInterval is the time between two reports to a peer in a small fleet. The
	// amount by which organisations can exceed their rates grows with it.
	minInterval = 200 * time.Millisecond
	// intervalPerPeer lengthens the interval in large fleets, to bound the CPU
	// time that a host spends on reports.
	intervalPerPeer = 8 * time.Millisecond
	// responseCacheTTL is how long one report is reused as the response to
	// several peers. It is short compared with the interval between rounds.
	responseCacheTTL = 50 * time.Millisecond
	// unreachableEvery is the number of intervals per call to an unreachable host.
	// Few calls suffice, since that host calls this one as soon as it can.
	unreachableEvery = 4
	// maxPeerResponse bounds a peer's response, in bytes. The largest ones are listings
	// of a kind for followers.
	maxPeerResponse = 8 << 20
	// callTimeout limits a call to a peer.
	callTimeout = 600 * time.Millisecond
	// registerMinBackoff and registerMaxBackoff bound the backoff between
	// attempts to write this host's entry.
	registerMinBackoff = 100 * time.Millisecond
	registerMaxBackoff = time.Second
	// maxListingWait limits how long the first write of this host's entry waits for the
	// listing of the entries.
	maxListingWait = 300 * time.Millisecond
)

// Participant is a component of the host that sends data in the periodic reports
// between hosts and processes the data of peers.
type Participant interface {
	// FillReport adds the component's data to this host's report.
	FillReport(report *fleetv1.Report)
	// HandleReport processes a peer's report. joining is set while this process
	// has recently started.
	HandleReport(report *fleetv1.Report, joining bool)
	// SetReachability passes in the current reachability of the peers. It is
	// called before each round of reports.
	SetReachability(reachability Reachability)
}

// Reachability lists which peers this host can reach.
type Reachability struct {
	// Reachable holds the names of the peers that reported recently, Unreachable
	// those of peers that did not but may still be serving. Both are sorted.
	Reachable, Unreachable []string
	// Interval is the time between two reports of a peer.
	Interval time.Duration
}

// ReachableFraction returns the fraction of hosts that are reachable, from above
// 0 to 1. This host is included as reachable.
func (r Reachability) ReachableFraction() float64 {
	return float64(len(r.Reachable)+1) / float64(len(r.Reachable)+len(r.Unreachable)+1)
}

const (
	// settleIntervals is the number of intervals in which a report reaches all peers
	// and their answers to it come back.
	settleIntervals = 2
	// MaxSettleTime bounds Reachability.SettleTime.
	MaxSettleTime = 2 * time.Second
)

// SettleTime returns the time in which peers learn what this host reports, and this
// host learns what they say to it; at most MaxSettleTime.
func (r Reachability) SettleTime() time.Duration {
	return min(settleIntervals*r.Interval, MaxSettleTime)
}

// Config configures a Service.
type Config struct {
	Store objectstore.Store
	// Host is this host's name. Incarnation identifies this process and differs
	// after each restart.
	Host, Incarnation string
	// Zone is the host's availability zone.
	Zone string
	// Address is this host's peer service as IP:PORT.
	Address string
}

// Service exchanges periodic reports with the other hosts. It implements
// suture.Service, mirror.Handler for KindHost, and the fleetv1.Fleet peer
// service. It is safe for concurrent use.
type Service struct {
	config  Config
	started time.Time
	// bootedAt is started by clock.Boot.
	bootedAt     time.Time
	client       *http.Client
	participants []Participant
	// followHandler serves peers that follow this host; nil rejects them.
	followHandler func(ctx context.Context, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error)
	// relayedHandler is called with what endpoints said in responses that this host
	// relayed; nil ignores it.
	relayedHandler func(request *fleetv1.RelayedRequest)
	// entryLost signals that the store lacks this host's entry.
	entryLost chan struct{}
	// placeHandler serves requests for models and adapters; if nil, the
	// response is empty.
	placeHandler func(ctx context.Context, request *fleetv1.PlaceRequest) *fleetv1.PlaceResponse

	mu      sync.Mutex
	roster  *roster
	clients map[string]fleetv1.Fleet
	// inFlight holds the peers to which a report is in flight.
	inFlight map[string]bool
	// registered is set once this host's entry was written.
	registered bool
	// entryVersion is the version of this host's entry in the last listing, which may be
	// one of an earlier process; zero if it lacks the entry. listed is closed at the first
	// listing.
	entryVersion objectstore.Version
	listed       chan struct{}
	// rounds counts the rounds of reports.
	rounds int
	// ignored logs the entries that can't be used.
	ignored objectstore.IgnoredLog
	// cachedResponse is the report last built as a response, at cachedAt.
	cachedResponse *fleetv1.Report
	cachedAt       time.Time
}

var _ fleetv1.Fleet = (*Service)(nil)

// New returns a service that sends no reports until Serve is called.
func New(cfg Config) *Service {
	transport := responsehead.NewTransport(&http.Transport{
		DialContext: upstream.Dial, MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
	})
	return &Service{
		config: cfg, started: time.Now(), bootedAt: clock.Boot(),
		client:    &http.Client{Transport: &boundedhttp.Transport{Base: transport, Limit: maxPeerResponse}},
		entryLost: make(chan struct{}, 1), listed: make(chan struct{}),
		roster: newRoster(cfg.Host), clients: make(map[string]fleetv1.Fleet), inFlight: make(map[string]bool),
	}
}

// AddParticipant registers a component that takes part in the reports. It must
// be called before Serve.
func (s *Service) AddParticipant(participant Participant) {
	s.participants = append(s.participants, participant)
}

// SetPlacementHandler sets the handler of peers' requests for models and
// adapters. It must be called before Serve.
func (s *Service) SetPlacementHandler(handler func(context.Context, *fleetv1.PlaceRequest) *fleetv1.PlaceResponse) {
	s.placeHandler = handler
}

// SetFollowHandler sets the handler of requests from peers that follow this
// host. It must be called before Serve.
func (s *Service) SetFollowHandler(handler func(context.Context, *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error)) {
	s.followHandler = handler
}

// SetRelayedHandler sets the handler of what endpoints said in responses that this host
// relayed. It must be called before Serve.
func (s *Service) SetRelayedHandler(handler func(*fleetv1.RelayedRequest)) {
	s.relayedHandler = handler
}

// Handler returns the HTTP handler of the peer service.
func (s *Service) Handler() http.Handler { return fleetv1.NewFleetServer(s) }

// String implements fmt.Stringer; the supervisor logs the name.
func (s *Service) String() string { return "exchange" }

// Serve registers this host in the store and reports to the peers until ctx is
// cancelled.
func (s *Service) Serve(ctx context.Context) error {
	go s.keepRegistered(ctx)
	for {
		s.sendRound(ctx)
		if !retry.Sleep(ctx, s.roundInterval()) {
			return ctx.Err()
		}
	}
}

// Interval returns the time between two reports of a peer.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.interval()
}

// Reachability returns the current reachability of the peers.
func (s *Service) Reachability() Reachability {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.reachability(time.Now())
}

func (s *Service) roundInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.roundInterval()
}

// keepRegistered writes this host's entry at the start and whenever the store has
// lost it, until ctx is cancelled.
func (s *Service) keepRegistered(ctx context.Context) {
	select { // the listing shows whether to create or to update the entry
	case <-s.listed:
	case <-ctx.Done():
	case <-time.After(maxListingWait):
	}
	s.register(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.entryLost:
			logrus.Info("the store lacks this host's entry; writing it again")
			s.register(ctx)
		}
	}
}

// register writes this host's entry, replacing one of an earlier incarnation. It
// retries until it succeeds or ctx is cancelled.
func (s *Service) register(ctx context.Context) {
	value, err := json.Marshal(hostEntry{Address: s.config.Address, Incarnation: s.config.Incarnation})
	if err != nil {
		logrus.WithError(err).Error("encoding this host's store entry failed; host not registered")
		return
	}
	backoff := retry.NewBackOff(registerMinBackoff, registerMaxBackoff)
	for {
		err := s.writeEntry(ctx, value)
		if err == nil {
			s.mu.Lock()
			s.registered = true
			s.mu.Unlock()
			return
		}
		logrus.WithError(err).Warn("writing this host's store entry failed; retrying")
		if !retry.Sleep(ctx, backoff.NextBackOff()) {
			return
		}
	}
}

func (s *Service) writeEntry(ctx context.Context, value json.RawMessage) error {
	store, writeID := s.config.Store, uuid.NewString()
	s.mu.Lock()
	version := s.entryVersion
	s.mu.Unlock()
	var err error
	if version == 0 {
		_, err = store.Create(ctx, KindHost, s.config.Host, writeID, value)
	} else {
		_, err = store.Update(ctx, KindHost, s.config.Host, version, writeID, value)
	}
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) { // removed since the listing
		_, err = store.Create(ctx, KindHost, s.config.Host, writeID, value)
	}
	var conflict *objectstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if conflict.Current.WriteID == writeID || s.isOwnEntry(conflict.Current) {
		return nil
	}
	_, err = store.Update(ctx, KindHost, s.config.Host, conflict.Current.Version, writeID, value)
	return err
}

// Replace implements mirror.Handler.
func (s *Service) Replace(listing objectstore.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ownEntry := false
	s.entryVersion = 0
	s.ignored.Retain(listing)
	for _, item := range listing.Items {
		s.applyEntry(item)
		if item.Name == s.config.Host {
			s.entryVersion = item.Version
		}
		ownEntry = ownEntry || item.Name == s.config.Host && s.isOwnEntry(item)
	}
	select {
	case <-s.listed:
	default:
		close(s.listed)
	}
	// The listing may be older than the entry, so that the write changes nothing.
	if s.registered && !ownEntry {
		select {
		case s.entryLost <- struct{}{}:
		default: // the entry is about to be written
		}
	}
}

// isOwnEntry reports whether an entry is that of this process.
func (s *Service) isOwnEntry(object objectstore.Object) bool {
	var entry hostEntry
	return json.Unmarshal(object.Value, &entry) == nil && entry.Incarnation == s.config.Incarnation
}

// Apply implements mirror.Handler.
func (s *Service) Apply(event objectstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Type == objectstore.EventDelete {
		s.ignored.Remove(event.Object.Name)
		s.roster.removeEntry(event.Object.Name)
		return
	}
	s.applyEntry(event.Object)
}

// applyEntry adds or updates the peer of an entry. One that can't be used changes nothing: a
// peer that is known goes by its reports, and out of use without them.
func (s *Service) applyEntry(object objectstore.Object) {
	entry, err := decodeEntry(object)
	if err != nil {
		s.ignored.Add(object, err)
		return
	}
	s.ignored.Remove(object.Name)
	s.roster.addEntry(time.Now(), object.Name, entry.Address, entry.Incarnation)
}

// sendRound sends a report to the peers that are due, in parallel and without waiting
// for their responses. A peer with a report in flight gets no further one until that
// call ends.
func (s *Service) sendRound(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	peers := s.roster.roundTargets(now, s.rounds)
	s.rounds++
	reachability := s.roster.reachability(now)
	leader := ""
	if p := s.roster.leader(now); p != nil {
		leader = p.name
	}
	s.mu.Unlock()
	for _, participant := range s.participants {
		participant.SetReachability(reachability)
	}
	if len(peers) == 0 {
		return
	}
	report := s.report()
	// Only the lease holder uses demand. While no holder is known, any peer may
	// become it, so that all get the full report.
	withoutDemand := proto.CloneOf(report)
	omitDemand(withoutDemand)
	for _, p := range peers {
		outgoing := withoutDemand
		if leader == "" || p.name == leader {
			outgoing = report
		}
		if s.beginCall(p.name) {
			go func() {
				defer s.endCall(p.name)
				s.reportTo(ctx, p, outgoing)
			}()
		}
	}
}

// beginCall marks a report to a peer as in flight. It returns false if one
// already is.
func (s *Service) beginCall(peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[peer] {
		return false
	}
	s.inFlight[peer] = true
	return true
}

func (s *Service) endCall(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, peer)
}

// omitDemand removes demand from a report and marks the report as incomplete in
// this respect.
func omitDemand(report *fleetv1.Report) { report.Demand, report.WithoutDemand = nil, true }

// report returns this host's report with the data of all participants.
func (s *Service) report() *fleetv1.Report {
	report := &fleetv1.Report{Host: s.config.Host, Incarnation: s.config.Incarnation, Address: s.config.Address, Zone: s.config.Zone, AgeMillis: clock.Boot().Sub(s.bootedAt).Milliseconds()}
	for _, participant := range s.participants {
		participant.FillReport(report)
	}
	return report
}

func (s *Service) reportTo(ctx context.Context, p peer, report *fleetv1.Report) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt, calledAt := time.Now(), clock.Boot()
	response, err := s.peerClient(p.address).Exchange(ctx, report)
	if err != nil {
		logrus.WithError(err).WithField("peer", p.name).Debug("report to peer failed")
		return
	}
	s.handleReport(sentAt, calledAt, response)
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

// DumpState returns the peers, with the age of their last reports in
// milliseconds, for the state dump.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	type state struct {
		Name, Address string
		HeardMS       int64
	}
	list := []state{}
	for _, p := range s.roster.reportTargets(now, true) {
		list = append(list, state{p.name, p.address, now.Sub(p.reportedAt).Milliseconds()})
	}
	return list
}
