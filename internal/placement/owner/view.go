package owner

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// view is one engine as seen in one cycle.
type view struct {
	name   string
	zone   string
	config *apiv1.Endpoint
	state  endpoint.State
	// takenAt is when the report's state was taken, at the latest.
	takenAt time.Time
	record  *record
	// intents are the record's, settled by the report.
	intents placement.Intents
	// changed is set where settling changed the intents.
	changed bool
	// accounted is set once the account includes the intents.
	accounted bool
	usable    bool
	account   placement.Account
}

// views returns the engines among the endpoints that are configured.
func (o *Owner) views() []*view {
	snapshot := o.cfg.Source.Current()
	states := o.cfg.Endpoints.States()
	views := make([]*view, 0, len(states))
	for i := range states {
		cfg := snapshot.Endpoint(states[i].Config.GetName())
		if cfg.GetKind() != apiv1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		views = append(views, newView(cfg, states[i]))
	}
	return views
}

func newView(cfg *apiv1.Endpoint, state endpoint.State) *view {
	v := &view{name: cfg.GetName(), zone: cfg.GetZone(), config: cfg, state: state}
	v.takenAt = state.ReportedAt.Add(-time.Duration(state.Report.AgeMillis) * time.Millisecond)
	v.account = placement.NewAccount(v.limits(), &v.state.Report, &placement.Intents{}, "")
	return v
}

// limits takes the smaller of the configured and the reported memory.
func (v *view) limits() placement.Limits {
	total := v.config.GetMemoryBytes()
	if reported := v.state.Report.MemoryBytes; reported > 0 {
		total = min(total, reported)
	}
	adapters := min(v.config.GetAdapterMemoryBytes(), total)
	return placement.Limits{ModelBytes: total - adapters, AdapterBytes: adapters}
}

func (v *view) leaving() bool {
	return v.config.GetDraining() || v.state.Leaving || v.state.Report.Draining
}

// alive reports whether the endpoint's replicas count.
func (v *view) alive(now time.Time, stale time.Duration) bool {
	return v.state.Reachable && v.state.Report.Incarnation != "" && now.Sub(v.takenAt) <= stale
}

// settle brings the view's intents and account up to date with its report.
func (o *Owner) settle(v *view) {
	v.usable, v.accounted = false, false
	r := v.record
	if !o.claimed(r) {
		return
	}
	report := &v.state.Report
	if !r.intents.Usable(report, v.state.ReportedAt.After(r.readAt)) {
		return
	}
	known := func(order *placement.Order) placement.Knowledge { return o.knowledge(order, v.takenAt) }
	v.intents, v.changed = r.intents.Settle(report, v.config.GetChecksFencing(), known)
	o.noteEnded(v.name, v.intents.Orders)
	v.account = placement.NewAccount(v.limits(), report, &v.intents, o.sender)
	v.accounted = true
	v.usable = v.alive(o.cfg.Now(), o.cfg.StaleReport)
}
