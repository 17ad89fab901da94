package owner

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// view is the state of one engine during one cycle.
type view struct {
	name   string
	zone   string
	config *apiv1.Endpoint
	state  endpoint.State
	// takenAt is the latest time at which the report can have been taken.
	takenAt time.Time
	cached  *cachedIntents
	// intents are the cached intents, settled by the report.
	intents placement.Intents
	// changed is set if settling changed the intents.
	changed bool
	// intentsCounted is set once the account includes the intents.
	intentsCounted bool
	// usable is set if orders may be sent: the intents are counted and the
	// endpoint is alive.
	usable bool
	// account is computed from the report and, if intentsCounted is set, the
	// intents.
	account placement.Account
}

// views returns a view of each configured engine.
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

// limits returns the memory limits, from the smaller of the configured and the
// reported memory.
func (v *view) limits() placement.Limits {
	total := v.config.GetMemoryBytes()
	if reported := v.state.Report.MemoryBytes; reported > 0 {
		total = min(total, reported)
	}
	adapters := min(v.config.GetAdapterMemoryBytes(), total)
	return placement.Limits{ModelBytes: total - adapters, AdapterBytes: adapters}
}

func (v *view) draining() bool {
	return v.config.GetDraining() || v.state.Draining || v.state.Report.Draining
}

// alive reports whether the endpoint is reachable and its report is recent enough
// for its replicas to count.
func (v *view) alive(now time.Time, stale time.Duration) bool {
	return v.state.Reachable && v.state.Report.Incarnation != "" && now.Sub(v.takenAt) <= stale
}

// settle updates the view's intents and account from its report.
func (o *Owner) settle(v *view) {
	v.usable, v.intentsCounted = false, false
	cached := v.cached
	if !o.claimed(cached) {
		return
	}
	report := &v.state.Report
	if !cached.intents.Usable(report, v.state.ReportedAt.After(cached.firstReadAt)) {
		return
	}
	localState := func(order *placement.Order) placement.LocalOrderState { return o.localOrderState(order, v.takenAt) }
	v.intents, v.changed = cached.intents.Settle(report, v.config.GetChecksFencing(), localState)
	o.recordEnded(v.name, v.intents.Orders)
	v.account = placement.NewAccount(v.limits(), report, &v.intents, o.sender)
	v.intentsCounted = true
	v.usable = v.alive(o.cfg.Now(), o.cfg.StaleReport)
}
