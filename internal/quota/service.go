package quota

import (
	"sync"
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

// Service is the Limiter of a host that exchanges usage reports with the other
// hosts. It is safe for concurrent use and implements forward.Quota and
// exchange.Participant.
type Service struct {
	mu      sync.Mutex
	limiter *Limiter
}

// NewService returns the service of a host, without policies, for windows of
// the given length. FirstStart means that the whole fleet starts for the first
// time.
func NewService(host string, length time.Duration, firstStart bool) *Service {
	return &Service{limiter: NewLimiter(host, length, firstStart)}
}

// Configure replaces the policies by those of config. Organisations without a
// rate in it have no limit.
func (s *Service) Configure(config *traffic.Config) {
	policies := make(map[string]Policy)
	for _, organisation := range config.Organisations() {
		if organisation.TokensPerSecond > 0 {
			policies[organisation.Name] = Policy{Rate: organisation.TokensPerSecond, Burst: organisation.Burst}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.SetPolicies(clock.Boot(), policies)
}

// Take implements forward.Quota.
func (s *Service) Take(organisation string, tokens float64) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Take(clock.Boot(), organisation, tokens)
}

// Refund implements forward.Quota.
func (s *Service) Refund(organisation string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Refund(clock.Boot(), organisation, tokens)
}

// FillReport implements exchange.Participant.
func (s *Service) FillReport(report *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, u := range s.limiter.Usage(clock.Boot()) {
		report.Usage = append(report.Usage, &fleetv1.Usage{Organisation: name, Tokens: u.Taken, Used: u.Used, Level: u.Level, Recent: u.Recent})
	}
}

// HandleReport implements exchange.Participant.
func (s *Service) HandleReport(report *fleetv1.Report, joining bool) {
	usage := make(map[string]Usage, len(report.GetUsage()))
	for _, u := range report.GetUsage() {
		usage[u.GetOrganisation()] = Usage{Taken: u.GetTokens(), Used: u.GetUsed(), Level: u.Level, Recent: u.GetRecent()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.RecordPeerUsage(clock.Boot(), PeerUsage{
		Host: report.GetHost(), Incarnation: report.GetHost() + "/" + report.GetIncarnation(),
		Age: time.Duration(report.GetAgeMillis()) * time.Millisecond, Usage: usage,
	}, joining)
}

// SetReachability implements exchange.Participant.
func (s *Service) SetReachability(reach exchange.Reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.SetReachability(clock.Boot(), reach.Reachable, reach.Unreachable)
	s.limiter.SetReportInterval(reach.Interval)
}

// DumpState returns this host's usage by organisation, for the state dump.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Usage(clock.Boot())
}
