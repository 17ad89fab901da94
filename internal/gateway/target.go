package gateway

import (
	"slices"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
)

// target is the model, and the adapter if any, that a request is for.
type target struct {
	model   *apiv1.Model
	adapter *apiv1.Adapter
}

// name returns the name that callers use.
func (t target) name() string {
	if t.adapter != nil {
		return t.adapter.GetName()
	}
	return t.model.GetName()
}

// findTarget resolves a model or adapter name for an organisation.
func findTarget(snapshot *config.Snapshot, organisation, name string) (target, *Error) {
	t := target{model: snapshot.Model(name)}
	if t.model == nil {
		t.adapter = snapshot.Adapter(name)
		t.model = snapshot.Model(t.adapter.GetModel())
	}
	if t.model == nil || !t.permits(organisation) {
		// The error doesn't reveal whether another organisation has the model.
		return target{}, errModelNotFound(name)
	}
	return t, nil
}

// permits reports whether an organisation may use the target.
func (t target) permits(organisation string) bool {
	if !permits(t.model.GetOrganisations(), organisation) {
		return false
	}
	return t.adapter == nil || permits(t.adapter.GetOrganisations(), organisation)
}

// permits reports whether a list of permitted organisations includes one. An
// empty list permits all.
func permits(organisations []string, organisation string) bool {
	return len(organisations) == 0 || slices.Contains(organisations, organisation)
}

// modelEntry is one entry of GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// Parent is an adapter's base model.
	Parent string `json:"parent,omitempty"`
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// listModels returns the models and adapters that an organisation may use.
func listModels(snapshot *config.Snapshot, organisation string) modelList {
	list := modelList{Object: "list", Data: []modelEntry{}}
	add := func(t target, parent string) {
		if t.model != nil && t.permits(organisation) {
			list.Data = append(list.Data, modelEntry{ID: t.name(), Object: "model", OwnedBy: "bilberryslip", Parent: parent})
		}
	}
	for _, model := range snapshot.Models() {
		add(target{model: model}, "")
	}
	for _, adapter := range snapshot.Adapters() {
		add(target{model: snapshot.Model(adapter.GetModel()), adapter: adapter}, adapter.GetModel())
	}
	return list
}
