package quarantine

import (
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

const (
	// reportedFor is how long a host reports a crash that it saw. All peers that it
	// reaches have learned of it by then.
	reportedFor = 10 * time.Second
	// maxReported bounds the crashes in one report, which go to each peer several times
	// a second when many endpoints crash at once.
	maxReported = 16
	// Peers that started less than newPeerAge ago, or were silent for longer than
	// silentPeer, lack the evidence of earlier reports. It is sent again for resendFor.
	newPeerAge, silentPeer, resendFor = 10 * time.Second, 5 * time.Second, 10 * time.Second
)

// FillReport implements exchange.Participant. It reports the crashes that this host
// saw, and what survived here of that which peers suspect.
func (q *Quarantine) FillReport(report *fleetv1.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	full := now.Before(q.fullUntil)
	for endpoint, c := range q.evidence.crashes {
		if len(report.Crashes) == maxReported {
			break
		}
		recent := now.Sub(c.at) < reportedFor
		suspects := c.reportedSuspects(recent, full)
		segments, requests := suspects[KindSegment], suspects[KindRequest]
		if len(segments)+len(requests) > 0 || recent && c.confirmed && len(c.suspects) > 0 {
			report.Crashes = append(report.Crashes, &fleetv1.Crash{
				Endpoint: endpoint.Endpoint, StartedMillis: endpoint.StartedMillis,
				AgeMillis: now.Sub(c.at).Milliseconds(), Confirmed: c.confirmed, Segments: segments, Requests: requests,
			})
		}
	}
	for _, s := range q.evidence.disputedAt.Keys() {
		disputedAt, _ := q.evidence.disputedAt.Peek(s)
		survivedAt, ok := q.evidence.survived[s.Kind].Peek(s)
		if ok && now.Sub(disputedAt) < reportedFor {
			report.Survivals = append(report.Survivals, survivalMessage(s, now.Sub(survivedAt)))
		}
	}
}

// reportedSuspects returns the hashes of the suspects to report by kind: those of all
// hosts if full is set, else this host's if the crash is recent.
func (c *crash) reportedSuspects(recent, full bool) [kinds][]uint64 {
	var hashes [kinds][]uint64
	for s := range c.suspects {
		if full || recent && c.ownSuspects[s] {
			hashes[s.Kind] = append(hashes[s.Kind], s.Hash)
		}
	}
	return hashes
}

func survivalMessage(s Suspect, age time.Duration) *fleetv1.Survival {
	message := &fleetv1.Survival{AgeMillis: age.Milliseconds()}
	if s.Kind == KindRequest {
		message.Request = s.Hash
	} else {
		message.Segment = s.Hash
	}
	return message
}

// survivor returns what survived by a message.
func survivor(message *fleetv1.Survival) Suspect {
	if message.GetRequest() != 0 {
		return Suspect{KindRequest, message.GetRequest()}
	}
	return Suspect{KindSegment, message.GetSegment()}
}

// HandleReport implements exchange.Participant.
func (q *Quarantine) HandleReport(report *fleetv1.Report, _ bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	age := time.Duration(report.GetAgeMillis()) * time.Millisecond
	if age < newPeerAge || now.Sub(q.peersAt[report.GetHost()]) > silentPeer {
		q.fullUntil = now.Add(resendFor)
	}
	q.peersAt[report.GetHost()] = now
	if len(report.GetSurvivals())+len(report.GetCrashes()) == 0 {
		return
	}
	for _, survival := range report.GetSurvivals() {
		at := now.Add(-time.Duration(survival.GetAgeMillis()) * time.Millisecond)
		q.evidence.recordPeerSurvival(at, survivor(survival))
	}
	for _, c := range report.GetCrashes() {
		endpoint := Incarnation{c.GetEndpoint(), c.GetStartedMillis()}
		at := now.Add(-time.Duration(c.GetAgeMillis()) * time.Millisecond)
		q.evidence.addSuspects(now, at, endpoint, suspectsOf(c), false)
		if c.GetConfirmed() {
			q.evidence.crashes[endpoint].confirmed = true
		}
	}
	q.updateOften(now)
}

func suspectsOf(c *fleetv1.Crash) []Suspect {
	suspects := make([]Suspect, 0, len(c.GetSegments())+len(c.GetRequests()))
	for _, hash := range c.GetSegments() {
		suspects = append(suspects, Suspect{KindSegment, hash})
	}
	for _, hash := range c.GetRequests() {
		suspects = append(suspects, Suspect{KindRequest, hash})
	}
	return suspects
}

// SetReachability implements exchange.Participant. It computes the holds, whose
// evidence changes with time.
func (q *Quarantine) SetReachability(reachability exchange.Reachability) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle = reachability.SettleTime()
	now := q.clock()
	if now.Sub(q.changedAt) <= q.settle+reachability.Interval || now.Sub(q.updatedAt) >= expiryInterval {
		q.update(now)
	}
}

// State is the evidence in the state dump.
type State struct {
	Crashes []CrashState `json:"crashes"`
	Held    []HeldState  `json:"held"`
}

// CrashState is a crash in the state dump. Segments and Requests are the hashes of its
// suspects.
type CrashState struct {
	Endpoint  string   `json:"endpoint"`
	AgeMS     int64    `json:"ageMillis"`
	Confirmed bool     `json:"confirmed"`
	Segments  []string `json:"segments"`
	Requests  []string `json:"requests"`
}

// HeldState is what is held back in the state dump: a "segment" or "request".
type HeldState struct {
	Kind    string `json:"kind"`
	Hash    string `json:"hash"`
	Crashes int    `json:"crashes"`
	LeftMS  int64  `json:"leftMillis"`
}

// DumpState returns the State, for the state dump.
func (q *Quarantine) DumpState() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	state := State{Crashes: []CrashState{}, Held: []HeldState{}}
	for endpoint, c := range q.evidence.crashes {
		dumped := CrashState{Endpoint: endpoint.Endpoint, AgeMS: now.Sub(c.at).Milliseconds(), Confirmed: c.confirmed, Segments: []string{}, Requests: []string{}}
		for s := range c.suspects {
			if s.Kind == KindRequest {
				dumped.Requests = append(dumped.Requests, s.HashText())
			} else {
				dumped.Segments = append(dumped.Segments, s.HashText())
			}
		}
		state.Crashes = append(state.Crashes, dumped)
	}
	for s, h := range *q.holds.Load() {
		state.Held = append(state.Held, HeldState{Kind: s.Kind.String(), Hash: s.HashText(), Crashes: h.crashes, LeftMS: h.until.Sub(now).Milliseconds()})
	}
	return state
}
