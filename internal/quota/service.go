package quota

import (
	"sync"
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

// Service is a Limiter in touch with the other hosts. It is safe for
// concurrent use and implements forward.Quota and exchange.Participant.
type Service struct {
	mu      sync.Mutex
	limiter *Limiter
}

// NewService returns the service of a host, without policies, for windows of a
// length. First is for the first start of a whole fleet.
func NewService(host string, length time.Duration, first bool) *Service {
	return &Service{limiter: NewLimiter(host, length, first)}
}

// Configure takes over the policies of a configuration.
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

// GiveBack implements forward.Quota.
func (s *Service) GiveBack(organisation string, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.GiveBack(clock.Boot(), organisation, tokens)
}

// FillReport implements exchange.Participant.
func (s *Service) FillReport(report *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, u := range s.limiter.Usage(clock.Boot()) {
		report.Usage = append(report.Usage, &fleetv1.Usage{Organisation: name, Tokens: u.Taken, Used: u.Used})
	}
}

// HandleReport implements exchange.Participant.
func (s *Service) HandleReport(report *fleetv1.Report, joining bool) {
	usage := make(map[string]Usage, len(report.GetUsage()))
	for _, u := range report.GetUsage() {
		usage[u.GetOrganisation()] = Usage{Taken: u.GetTokens(), Used: u.GetUsed()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Heard(clock.Boot(), PeerUsage{
		Host: report.GetHost(), Process: report.GetHost() + "/" + report.GetIncarnation(),
		Age: time.Duration(report.GetAgeMillis()) * time.Millisecond, Usage: usage,
	}, joining)
}

// SetReachability implements exchange.Participant.
func (s *Service) SetReachability(reach exchange.Reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.SetReach(clock.Boot(), reach.Reachable, reach.Unreachable)
	s.limiter.SetLag(reach.Interval)
}

// DumpState returns the buckets for the state dump.
func (s *Service) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Usage(clock.Boot())
}
