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
// saw, and which of the segments that peers suspect survived here.
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
		segments := c.reportedSuspects(recent, full)
		if len(segments) > 0 || recent && c.confirmed && len(c.suspects) > 0 {
			report.Crashes = append(report.Crashes, &fleetv1.Crash{
				Endpoint: endpoint.Endpoint, StartedMillis: endpoint.StartedMillis,
				AgeMillis: now.Sub(c.at).Milliseconds(), Confirmed: c.confirmed, Segments: segments,
			})
		}
	}
	for _, s := range q.evidence.disputedAt.Keys() {
		disputedAt, _ := q.evidence.disputedAt.Peek(s)
		survivedAt, ok := q.evidence.survived.Peek(s)
		if ok && now.Sub(disputedAt) < reportedFor {
			report.Survivals = append(report.Survivals, &fleetv1.SegmentSurvival{Segment: uint64(s), AgeMillis: now.Sub(survivedAt).Milliseconds()})
		}
	}
}

// reportedSuspects returns the suspects to report: those of all hosts if full is set,
// else this host's if the crash is recent.
func (c *crash) reportedSuspects(recent, full bool) []uint64 {
	var segments []uint64
	for s := range c.suspects {
		if full || recent && c.ownSuspects[s] {
			segments = append(segments, uint64(s))
		}
	}
	return segments
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
	for _, survival := range report.GetSurvivals() {
		s, at := Segment(survival.GetSegment()), now.Add(-time.Duration(survival.GetAgeMillis())*time.Millisecond)
		if known, _ := q.evidence.peersSurvived.Peek(s); at.After(known) {
			q.evidence.peersSurvived.Add(s, at)
		}
	}
	for _, c := range report.GetCrashes() {
		endpoint := Incarnation{c.GetEndpoint(), c.GetStartedMillis()}
		at := now.Add(-time.Duration(c.GetAgeMillis()) * time.Millisecond)
		q.evidence.addSuspects(now, at, endpoint, segmentsOf(c.GetSegments()), false)
		if c.GetConfirmed() {
			q.evidence.crashes[endpoint].confirmed = true
		}
	}
	q.update(now)
}

func segmentsOf(hashes []uint64) []Segment {
	segments := make([]Segment, len(hashes))
	for i, hash := range hashes {
		segments[i] = Segment(hash)
	}
	return segments
}

// SetReachability implements exchange.Participant. It computes the holds, whose
// evidence changes with time.
func (q *Quarantine) SetReachability(reachability exchange.Reachability) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle = reachability.SettleTime()
	q.update(q.clock())
}

// State is the evidence in the state dump.
type State struct {
	Crashes []CrashState `json:"crashes"`
	Held    []HeldState  `json:"held"`
}

// CrashState is a crash in the state dump. Suspects are segment hashes.
type CrashState struct {
	Endpoint  string   `json:"endpoint"`
	AgeMS     int64    `json:"ageMillis"`
	Confirmed bool     `json:"confirmed"`
	Suspects  []string `json:"suspects"`
}

// HeldState is a segment that is held back in the state dump.
type HeldState struct {
	Segment string `json:"segment"`
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
		dumped := CrashState{Endpoint: endpoint.Endpoint, AgeMS: now.Sub(c.at).Milliseconds(), Confirmed: c.confirmed, Suspects: []string{}}
		for s := range c.suspects {
			dumped.Suspects = append(dumped.Suspects, s.String())
		}
		state.Crashes = append(state.Crashes, dumped)
	}
	for s, h := range *q.holds.Load() {
		state.Held = append(state.Held, HeldState{Segment: s.String(), Crashes: h.crashes, LeftMS: h.until.Sub(now).Milliseconds()})
	}
	return state
}
