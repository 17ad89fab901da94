// Package config implements the configuration that operators edit: the
// validation of changes, the replicated log of changes, and the snapshot that is
// in force on this host.
package config

import (
	"sort"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// ObjectKey identifies a configuration object.
type ObjectKey struct {
	Kind apiv1.Kind
	Name string
}

// Snapshot is the whole configuration at one revision. It is immutable and safe
// for concurrent use; callers must not modify the objects it returns.
type Snapshot struct {
	revision      int64
	objects       map[ObjectKey]*apiv1.Object
	keysByHash    map[string]*apiv1.Key
	ratePolicies  map[string]*apiv1.RatePolicy
	organisations []*apiv1.Organisation
	models        []*apiv1.Model
	adapters      []*apiv1.Adapter
	endpoints     []*apiv1.Endpoint
	routes        []*apiv1.Route
	policies      []*apiv1.PlacementPolicy
}

// Source provides the snapshot in force.
type Source interface {
	// Current returns the snapshot in force.
	Current() *Snapshot
	// Changed returns a channel that is closed when the next snapshot comes
	// into force.
	Changed() <-chan struct{}
}

// NewSnapshot returns a snapshot of the objects at a revision. The versions of
// the objects must be set.
func NewSnapshot(revision int64, objects []*apiv1.Object) *Snapshot {
	s := &Snapshot{
		revision:     revision,
		objects:      make(map[ObjectKey]*apiv1.Object, len(objects)),
		keysByHash:   make(map[string]*apiv1.Key),
		ratePolicies: make(map[string]*apiv1.RatePolicy),
	}
	sorted := append([]*apiv1.Object(nil), objects...)
	sort.Slice(sorted, func(i, j int) bool { return less(KeyOf(sorted[i]), KeyOf(sorted[j])) })
	for _, obj := range sorted {
		s.objects[KeyOf(obj)] = obj
		s.index(obj)
	}
	return s
}

func less(a, b ObjectKey) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Name < b.Name
}

func (s *Snapshot) index(obj *apiv1.Object) {
	switch spec := obj.Spec.(type) {
	case *apiv1.Object_Organisation:
		s.organisations = append(s.organisations, spec.Organisation)
	case *apiv1.Object_Key:
		s.keysByHash[spec.Key.SecretSha256] = spec.Key
	case *apiv1.Object_Model:
		s.models = append(s.models, spec.Model)
	case *apiv1.Object_Adapter:
		s.adapters = append(s.adapters, spec.Adapter)
	case *apiv1.Object_Endpoint:
		s.endpoints = append(s.endpoints, spec.Endpoint)
	case *apiv1.Object_Route:
		s.routes = append(s.routes, spec.Route)
	case *apiv1.Object_PlacementPolicy:
		s.policies = append(s.policies, spec.PlacementPolicy)
	case *apiv1.Object_RatePolicy:
		s.ratePolicies[spec.RatePolicy.Organisation] = spec.RatePolicy
	}
}

// KeyOf returns the kind and name of an object, or the zero ObjectKey if the
// object has no spec.
func KeyOf(obj *apiv1.Object) ObjectKey {
	switch spec := obj.GetSpec().(type) {
	case *apiv1.Object_Organisation:
		return ObjectKey{apiv1.Kind_KIND_ORGANISATION, spec.Organisation.GetName()}
	case *apiv1.Object_Key:
		return ObjectKey{apiv1.Kind_KIND_KEY, spec.Key.GetName()}
	case *apiv1.Object_Model:
		return ObjectKey{apiv1.Kind_KIND_MODEL, spec.Model.GetName()}
	case *apiv1.Object_ModelVersion:
		return ObjectKey{apiv1.Kind_KIND_VERSION, spec.ModelVersion.GetName()}
	case *apiv1.Object_Adapter:
		return ObjectKey{apiv1.Kind_KIND_ADAPTER, spec.Adapter.GetName()}
	case *apiv1.Object_Endpoint:
		return ObjectKey{apiv1.Kind_KIND_ENDPOINT, spec.Endpoint.GetName()}
	case *apiv1.Object_Route:
		return ObjectKey{apiv1.Kind_KIND_ROUTE, spec.Route.GetName()}
	case *apiv1.Object_PlacementPolicy:
		return ObjectKey{apiv1.Kind_KIND_PLACEMENT_POLICY, spec.PlacementPolicy.GetName()}
	case *apiv1.Object_RatePolicy:
		return ObjectKey{apiv1.Kind_KIND_RATE_POLICY, spec.RatePolicy.GetName()}
	default:
		return ObjectKey{}
	}
}

// Revision returns the revision of the last change that the snapshot includes.
func (s *Snapshot) Revision() int64 { return s.revision }

// Object returns the object of a kind and name, or nil if there is none.
func (s *Snapshot) Object(kind apiv1.Kind, name string) *apiv1.Object {
	return s.objects[ObjectKey{kind, name}]
}

// Objects returns the objects of a kind, or all objects if kind is unspecified,
// ordered by kind and name.
func (s *Snapshot) Objects(kind apiv1.Kind) []*apiv1.Object {
	var objects []*apiv1.Object
	for key, obj := range s.objects {
		if kind == apiv1.Kind_KIND_UNSPECIFIED || key.Kind == kind {
			objects = append(objects, obj)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return less(KeyOf(objects[i]), KeyOf(objects[j])) })
	return objects
}

// Organisation returns the named organisation, or nil.
func (s *Snapshot) Organisation(name string) *apiv1.Organisation {
	return s.Object(apiv1.Kind_KIND_ORGANISATION, name).GetOrganisation()
}

// KeyByHash returns the key whose secret has the given SHA-256 in hexadecimal,
// or nil. The key may be withdrawn.
func (s *Snapshot) KeyByHash(sha256Hex string) *apiv1.Key { return s.keysByHash[sha256Hex] }

// Model returns the named model, or nil.
func (s *Snapshot) Model(name string) *apiv1.Model {
	return s.Object(apiv1.Kind_KIND_MODEL, name).GetModel()
}

// Version returns the named model version, or nil.
func (s *Snapshot) Version(name string) *apiv1.Version {
	return s.Object(apiv1.Kind_KIND_VERSION, name).GetModelVersion()
}

// Adapter returns the named adapter, or nil.
func (s *Snapshot) Adapter(name string) *apiv1.Adapter {
	return s.Object(apiv1.Kind_KIND_ADAPTER, name).GetAdapter()
}

// Endpoint returns the named endpoint, or nil.
func (s *Snapshot) Endpoint(name string) *apiv1.Endpoint {
	return s.Object(apiv1.Kind_KIND_ENDPOINT, name).GetEndpoint()
}

// RatePolicy returns the rate policy of an organisation, or nil.
func (s *Snapshot) RatePolicy(organisation string) *apiv1.RatePolicy {
	return s.ratePolicies[organisation]
}

// Organisations returns all organisations, ordered by name.
func (s *Snapshot) Organisations() []*apiv1.Organisation { return s.organisations }

// Models returns all models, ordered by name.
func (s *Snapshot) Models() []*apiv1.Model { return s.models }

// Adapters returns all adapters, ordered by name.
func (s *Snapshot) Adapters() []*apiv1.Adapter { return s.adapters }

// Endpoints returns all endpoints, ordered by name.
func (s *Snapshot) Endpoints() []*apiv1.Endpoint { return s.endpoints }

// Routes returns all routes, ordered by name.
func (s *Snapshot) Routes() []*apiv1.Route { return s.routes }

// PlacementPolicies returns all placement policies, ordered by name.
func (s *Snapshot) PlacementPolicies() []*apiv1.PlacementPolicy { return s.policies }
