package config

import (
	"fmt"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

func mutationPath(i int) string { return fmt.Sprintf("mutations[%d]", i) }

// routeMatch is what decides which route a call takes.
type routeMatch struct {
	service, method, pathPrefix string
}

func (v *validator) checkRoutesDistinct() {
	seen := make(map[routeMatch]ObjectKey)
	for _, route := range v.after.Routes() {
		key := ObjectKey{apiv1.Kind_KIND_ROUTE, route.Name}
		match := routeMatch{route.Service, route.Method, route.PathPrefix}
		if other, twice := seen[match]; twice {
			v.collision(key, other, "path_prefix", "has the same service, method and path; change one of them")
			continue
		}
		seen[match] = key
	}
}

func (v *validator) checkRatePoliciesDistinct() {
	seen := make(map[string]string)
	for _, obj := range v.after.Objects(apiv1.Kind_KIND_RATE_POLICY) {
		v.checkUnique(KeyOf(obj), "organisation", obj.GetRatePolicy().Organisation, seen, "change the policy that the organisation has")
	}
}

// checkPlacementPolicy checks a policy by itself and its references.
func (v *validator) checkPlacementPolicy(key ObjectKey, policy *apiv1.PlacementPolicy) {
	for _, model := range policy.Models {
		v.checkReference(key, "models", ObjectKey{apiv1.Kind_KIND_MODEL, model})
	}
	for _, pool := range policy.Pools {
		v.checkName(key, "pools", pool)
	}
	v.checkNotNegative(key, "min_replicas_per_zone", int64(policy.MinReplicasPerZone))
	v.checkNotNegative(key, "max_replicas", int64(policy.MaxReplicas))
	if policy.MaxReplicas > 0 && policy.MinReplicasPerZone > policy.MaxReplicas {
		v.objectFault(key, "max_replicas", "%d is less than min_replicas_per_zone; raise it, or use 0 for no limit", policy.MaxReplicas)
	}
}

// poolMemory is the largest memory that one endpoint of a pool has.
type poolMemory struct {
	weights  int64
	adapters int64
}

// checkPlacement checks that each model has one policy at most, and an
// endpoint on which it and its adapters fit.
func (v *validator) checkPlacement() {
	memory := v.memoryByPool()
	policies := v.policiesByModel()
	for _, model := range v.after.Models() {
		if version := v.after.Version(model.ServingVersion); version != nil {
			v.checkFits(model, version, policies[model.Name], memory)
		}
	}
	for _, adapter := range v.after.Adapters() {
		v.checkAdapterFits(adapter, policies[adapter.Model], memory)
	}
}

func (v *validator) memoryByPool() map[string]poolMemory {
	memory := make(map[string]poolMemory)
	for _, e := range v.after.Endpoints() {
		if e.Kind != apiv1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		most := memory[e.Pool]
		most.weights = max(most.weights, e.MemoryBytes-e.AdapterMemoryBytes)
		most.adapters = max(most.adapters, e.AdapterMemoryBytes)
		memory[e.Pool] = most
	}
	return memory
}

// policiesByModel finds the policy of each model, which is nil for a model
// that no policy covers.
func (v *validator) policiesByModel() map[string]*apiv1.PlacementPolicy {
	byModel := make(map[string]*apiv1.PlacementPolicy)
	var fallback *apiv1.PlacementPolicy
	for _, policy := range v.after.PlacementPolicies() {
		key := policyKey(policy)
		if len(policy.Models) == 0 && fallback != nil {
			v.collision(key, policyKey(fallback), "models", "covers every model that no other names as well; name models here or there")
		}
		if len(policy.Models) == 0 && fallback == nil {
			fallback = policy
		}
		for _, model := range policy.Models {
			if other := byModel[model]; other != nil {
				v.collision(key, policyKey(other), "models", fmt.Sprintf("names model %q as well; name it in one policy", model))
				continue
			}
			byModel[model] = policy
		}
	}
	for _, model := range v.after.Models() {
		if byModel[model.Name] == nil {
			byModel[model.Name] = fallback
		}
	}
	return byModel
}

func policyKey(policy *apiv1.PlacementPolicy) ObjectKey {
	return ObjectKey{apiv1.Kind_KIND_PLACEMENT_POLICY, policy.Name}
}

// mostMemory returns the largest memory among a policy's pools.
func mostMemory(policy *apiv1.PlacementPolicy, memory map[string]poolMemory) poolMemory {
	var most poolMemory
	widen := func(m poolMemory) {
		most.weights = max(most.weights, m.weights)
		most.adapters = max(most.adapters, m.adapters)
	}
	if len(policy.GetPools()) == 0 {
		for _, m := range memory {
			widen(m)
		}
	}
	for _, pool := range policy.GetPools() {
		widen(memory[pool])
	}
	return most
}

func (v *validator) checkFits(model *apiv1.Model, version *apiv1.Version, policy *apiv1.PlacementPolicy, memory map[string]poolMemory) {
	if most := mostMemory(policy, memory); version.MemoryBytes > most.weights {
		v.objectFault(ObjectKey{apiv1.Kind_KIND_MODEL, model.Name}, "serving_version",
			"version %q needs %d bytes, and the largest endpoint of the pools of %s has %d for weights; add a larger endpoint, change the policy's pools or serve another version",
			version.Name, version.MemoryBytes, describePolicy(policy), most.weights)
	}
}

func (v *validator) checkAdapterFits(adapter *apiv1.Adapter, policy *apiv1.PlacementPolicy, memory map[string]poolMemory) {
	if most := mostMemory(policy, memory); adapter.MemoryBytes > most.adapters {
		v.objectFault(ObjectKey{apiv1.Kind_KIND_ADAPTER, adapter.Name}, "memory_bytes",
			"%d bytes are needed, and the largest endpoint of the pools of %s has %d for adapters; raise an endpoint's adapter_memory_bytes or change the policy's pools",
			adapter.MemoryBytes, describePolicy(policy), most.adapters)
	}
}

func describePolicy(policy *apiv1.PlacementPolicy) string {
	if policy == nil {
		return "the default policy"
	}
	return fmt.Sprintf("policy %q", policy.Name)
}
