package evacuation

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Tracker keeps this host's Zones up to date from the store and from peers' reports, and
// logs what begins and ends. It implements exchange.Participant and is safe for concurrent
// use.
type Tracker struct {
	gauge prometheus.GaugeFunc
	// current is what Evacuated and Known read without the mutex.
	current atomic.Pointer[snapshot]

	mu    sync.Mutex
	zones Zones
}

// snapshot is the state of a Zones.
type snapshot struct {
	known   bool
	inForce []string
}

// NewTracker returns a tracker that has read nothing yet.
func NewTracker() *Tracker {
	t := &Tracker{}
	t.current.Store(&snapshot{})
	t.gauge = prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberryslip_emptied_zones",
		Help: "Evacuated availability zones, to whose endpoints this host sends nothing.",
	}, func() float64 { return float64(len(t.current.Load().inForce)) })
	return t
}

// Collectors returns the tracker's metrics.
func (t *Tracker) Collectors() []prometheus.Collector { return []prometheus.Collector{t.gauge} }

// Evacuated reports whether this host must send nothing to the endpoints of a zone. While
// it has read no statement of the operators, that applies to all zones.
func (t *Tracker) Evacuated(zone string) bool {
	current := t.current.Load()
	return !current.known || slices.Contains(current.inForce, zone)
}

// Known reports whether this host has read the operators' statements, from the store or by
// a peer.
func (t *Tracker) Known() bool { return t.current.Load().known }

// List applies a listing of the store at a version.
func (t *Tracker) List(version objectstore.Version, listed []Statement) {
	t.update("", func(z *Zones) []Statement {
		changes, missing := z.List(version, listed)
		for _, s := range missing {
			logrus.WithFields(logrus.Fields{"zone": s.Zone, "version": s.Version, "listed": version}).
				Warn("restored store lacks a zone's evacuation, which stays in force; write it again, and remove it to end the evacuation")
		}
		return changes
	})
}

// Apply applies a change in the store.
func (t *Tracker) Apply(s Statement) {
	t.update("", func(z *Zones) []Statement { return z.Apply(s) })
}

// update changes the zones and logs the changes that change returns. Peer is the host that
// reported them, or empty for the store.
func (t *Tracker) update(peer string, change func(z *Zones) []Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := change(&t.zones)
	t.current.Store(&snapshot{known: t.zones.Known(), inForce: t.zones.InForce()})
	source := "store"
	if peer != "" {
		source = "peer"
	}
	for _, s := range changes {
		event := "zone evacuated"
		if s.Ended {
			event = "evacuation of zone ended"
		}
		logrus.WithFields(logrus.Fields{"zone": s.Zone, "version": s.Version, "source": source, "peer": peer}).Info(event)
	}
}

// FillReport implements exchange.Participant.
func (t *Tracker) FillReport(report *fleetv1.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report.EvacuationsKnown = t.zones.Known()
	for _, s := range t.zones.Statements() {
		report.Evacuations = append(report.Evacuations, &fleetv1.ZoneEvacuation{
			Zone: s.Zone, Era: s.Version.Era(), Version: s.Version.Revision(), Ended: s.Ended,
		})
	}
}

// HandleReport implements exchange.Participant.
func (t *Tracker) HandleReport(report *fleetv1.Report, _ bool) {
	var reported []Statement
	for _, e := range report.GetEvacuations() {
		reported = append(reported, Statement{
			Zone: e.GetZone(), Version: objectstore.NewVersion(e.GetEra(), e.GetVersion()), Ended: e.GetEnded(),
		})
	}
	t.update(report.GetHost(), func(z *Zones) []Statement { return z.Learn(reported, report.GetEvacuationsKnown()) })
}

// SetReachability implements exchange.Participant.
func (t *Tracker) SetReachability(exchange.Reachability) {}

// zoneState is what is known of one zone in the state dump.
type zoneState struct {
	Zone      string `json:"zone"`
	Version   string `json:"version"`
	Evacuated bool   `json:"evacuated"`
}

// DumpState returns whether the statements of operators are known and the newest one on
// each zone, for the state dump.
func (t *Tracker) DumpState() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := []zoneState{}
	for _, s := range t.zones.Statements() {
		zones = append(zones, zoneState{s.Zone, s.Version.String(), !s.Ended})
	}
	return map[string]any{"known": t.zones.Known(), "zones": zones}
}
