package owner

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// settleAll settles each endpoint's intents by its newest report, and writes the
// result once SettleDelay has passed.
func (o *Owner) settleAll(ctx context.Context, views []*view) error {
	for _, v := range views {
		if v.cached == nil {
			continue
		}
		o.settle(v)
		report := &v.state.Report
		invariant.Assert(report.UsedBytes <= report.MemoryBytes, invariant.MemoryWithinLimit, logrus.Fields{
			"endpoint": v.name, "used": report.UsedBytes, "memory": report.MemoryBytes,
		})
		if err := o.writeEnded(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// writeEnded writes the settled intents of the view once they have differed from
// the stored ones for SettleDelay.
func (o *Owner) writeEnded(ctx context.Context, v *view) error {
	if !v.changed {
		return nil
	}
	now := o.cfg.Now()
	if v.cached.unwrittenSince.IsZero() {
		v.cached.unwrittenSince = now
	}
	if now.Sub(v.cached.unwrittenSince) < o.cfg.SettleDelay {
		return nil
	}
	if err := o.write(ctx, v.cached, v.intents); err != nil {
		return err
	}
	o.settle(v)
	return nil
}

// executePlan makes a plan, and commits and sends the steps that pass the checks
// against the newest reports.
func (o *Owner) executePlan(ctx context.Context, views []*view) error {
	now := o.cfg.Now()
	input := o.planInput(views, now)
	plan := placement.Plan(&input)
	byName := make(map[string]*view, len(views))
	for _, v := range views {
		byName[v.name] = v
	}
	for _, batch := range groupByEndpoint(plan) {
		if err := o.commit(ctx, byName[batch[0].Endpoint], batch, views, &input); err != nil {
			return err
		}
	}
	return nil
}

// groupByEndpoint groups the steps by endpoint. The groups are in the order of
// their first steps.
func groupByEndpoint(steps []placement.Step) [][]placement.Step {
	index := make(map[string]int)
	var out [][]placement.Step
	for _, step := range steps {
		i, ok := index[step.Endpoint]
		if !ok {
			i = len(out)
			index[step.Endpoint] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], step)
	}
	return out
}

// commit checks the steps of one endpoint against the newest reports, writes those
// that pass to the endpoint's intent object as orders, and sends them.
func (o *Owner) commit(ctx context.Context, v *view, steps []placement.Step, views []*view, input *placement.Input) error {
	o.refresh(views)
	if !v.usable || v.draining() || !o.cfg.Lease.Status().Held {
		return nil
	}
	next := v.intents.Clone()
	next.Fence++
	var committed []placement.Step
	for i := range steps {
		if o.admitStep(v, &steps[i], views, input) {
			committed = append(committed, steps[i])
			next.Orders = append(next.Orders, o.newOrder(v, &steps[i], next.Fence))
		}
	}
	if len(committed) == 0 {
		return nil
	}
	if err := o.write(ctx, v.cached, next); err != nil {
		return errors.Wrapf(err, "commit %d orders", len(committed))
	}
	v.intents = v.cached.intents
	orders := v.intents.Orders[len(v.intents.Orders)-len(committed):]
	for i := range orders {
		o.recordDecision(v, &committed[i], orders[i])
		o.send(ctx, v.name, orders[i])
	}
	return nil
}

// refresh updates the views with the reports received since they were made.
func (o *Owner) refresh(views []*view) {
	states := o.cfg.Endpoints.States()
	newest := make(map[string]int, len(states))
	for i := range states {
		newest[states[i].Config.GetName()] = i
	}
	for _, v := range views {
		i, ok := newest[v.name]
		if !ok || states[i].ReportedAt.Equal(v.state.ReportedAt) {
			continue
		}
		updated := newView(v.config, states[i])
		updated.cached = v.cached
		*v = *updated
		if v.cached != nil {
			o.settle(v)
		}
	}
}

// admitStep checks a step against the newest accounts and, if it passes, adds it
// to the endpoint's account. It reports whether the step passed.
func (o *Owner) admitStep(v *view, step *placement.Step, views []*view, input *placement.Input) bool {
	if !step.IsLoad() {
		return o.admitUnload(v, step, views, input)
	}
	if !v.account.WithinLimits() || !v.account.Fits(step.Item, step.Bytes) {
		return false
	}
	v.account.Load(step.Item, step.Bytes)
	return invariant.Assert(v.account.WithinLimits(), invariant.MemoryWithinLimit, logrus.Fields{
		"endpoint": v.name, "item": step.Item.String(), "models": v.account.CountedModelBytes, "adapters": v.account.CountedAdapterBytes,
	})
}

func (o *Owner) admitUnload(v *view, step *placement.Step, views []*view, input *placement.Input) bool {
	if !step.Item.IsAdapter() && !placement.MayUnload(input, o.planEndpoints(views), placement.Replica{Endpoint: v.name, Item: step.Item}) {
		return false
	}
	v.account.Unload(step.Item)
	return true
}

func (o *Owner) newOrder(v *view, step *placement.Step, fence int64) placement.Order {
	return placement.Order{
		ID:          ulid.Make().String(),
		Action:      step.Action,
		Item:        step.Item,
		Weights:     step.Weights,
		Bytes:       step.Bytes,
		Fence:       fence,
		Incarnation: v.state.Report.Incarnation,
		Sender:      o.sender,
	}
}

// recordDecision records the decision for a committed order and counts it.
func (o *Owner) recordDecision(v *view, step *placement.Step, order placement.Order) {
	if order.Action == engineapi.ActionLoadModel {
		o.budget.consume()
	}
	o.metrics.steps.WithLabelValues(string(step.Action), string(step.Reason)).Inc()
	o.cfg.Recorder.Record(&apiv1.Decision{
		Kind:     decisionKind(step),
		Model:    step.Item.String(),
		Endpoint: v.name,
		Reason:   string(step.Reason),
		Inputs: []*apiv1.Input{
			{Name: "action", Value: string(step.Action)},
			{Name: "order", Value: order.ID},
			{Name: "bytes", Value: strconv.FormatInt(step.Bytes, 10)},
			{Name: "fence", Value: strconv.FormatInt(order.Fence, 10)},
			{Name: "term", Value: strconv.FormatInt(o.term, 10)},
			{Name: "report_sequence", Value: strconv.FormatInt(v.state.Report.Sequence, 10)},
			{Name: "model_bytes_counted", Value: strconv.FormatInt(v.account.CountedModelBytes, 10)},
			{Name: "model_bytes_limit", Value: strconv.FormatInt(v.account.Limits.ModelBytes, 10)},
			{Name: "adapter_bytes_counted", Value: strconv.FormatInt(v.account.CountedAdapterBytes, 10)},
		},
	})
}

func decisionKind(step *placement.Step) apiv1.DecisionKind {
	switch {
	case step.Reason == placement.ReasonMakeRoom:
		return apiv1.DecisionKind_DECISION_KIND_MOVE
	case step.IsLoad():
		return apiv1.DecisionKind_DECISION_KIND_PLACE
	default:
		return apiv1.DecisionKind_DECISION_KIND_STOP
	}
}
