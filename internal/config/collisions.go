package config

import (
	"fmt"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

func mutationPath(i int) string { return fmt.Sprintf("mutations[%d]", i) }

// routeMatch holds the fields of a route that requests are matched by. No two
// routes may share them.
type routeMatch struct {
	service, method, pathPrefix string
}

func (v *validator) checkRoutesDistinct() {
	seen := make(map[routeMatch]ObjectKey)
	for _, route := range v.after.Routes() {
		key := ObjectKey{apiv1.Kind_KIND_ROUTE, route.Name}
		match := routeMatch{route.Service, route.Method, route.PathPrefix}
		if other, duplicate := seen[match]; duplicate {
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

// checkPlacementPolicy checks the fields of a policy and the models it names.
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

// poolMemory is the most memory, in bytes, that any single endpoint of a pool
// has for weights and for adapters. The two may be of different endpoints.
type poolMemory struct {
	weights  int64
	adapters int64
}

// checkPlacement checks that at most one policy covers each model, and that
// each serving version and each adapter fits on some endpoint of the policy's
// pools.
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
		largest := memory[e.Pool]
		largest.weights = max(largest.weights, e.MemoryBytes-e.AdapterMemoryBytes)
		largest.adapters = max(largest.adapters, e.AdapterMemoryBytes)
		memory[e.Pool] = largest
	}
	return memory
}

// policiesByModel returns the policy of each model: the one that names it, or
// else the one that names no models. The policy is nil if there is neither.
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

// largestMemory returns the most memory that an endpoint of the policy's pools
// has. A nil policy, or one without pools, covers all pools.
func largestMemory(policy *apiv1.PlacementPolicy, memory map[string]poolMemory) poolMemory {
	var largest poolMemory
	include := func(m poolMemory) {
		largest.weights = max(largest.weights, m.weights)
		largest.adapters = max(largest.adapters, m.adapters)
	}
	if len(policy.GetPools()) == 0 {
		for _, m := range memory {
			include(m)
		}
	}
	for _, pool := range policy.GetPools() {
		include(memory[pool])
	}
	return largest
}

func (v *validator) checkFits(model *apiv1.Model, version *apiv1.Version, policy *apiv1.PlacementPolicy, memory map[string]poolMemory) {
	if largest := largestMemory(policy, memory); version.MemoryBytes > largest.weights {
		v.objectFault(ObjectKey{apiv1.Kind_KIND_MODEL, model.Name}, "serving_version",
			"version %q needs %d bytes, and the largest endpoint of the pools of %s has %d for weights; add a larger endpoint, change the policy's pools or serve another version",
			version.Name, version.MemoryBytes, describePolicy(policy), largest.weights)
	}
}

func (v *validator) checkAdapterFits(adapter *apiv1.Adapter, policy *apiv1.PlacementPolicy, memory map[string]poolMemory) {
	if largest := largestMemory(policy, memory); adapter.MemoryBytes > largest.adapters {
		v.objectFault(ObjectKey{apiv1.Kind_KIND_ADAPTER, adapter.Name}, "memory_bytes",
			"%d bytes are needed, and the largest endpoint of the pools of %s has %d for adapters; raise an endpoint's adapter_memory_bytes or change the policy's pools",
			adapter.MemoryBytes, describePolicy(policy), largest.adapters)
	}
}

func describePolicy(policy *apiv1.PlacementPolicy) string {
	if policy == nil {
		return "the default policy"
	}
	return fmt.Sprintf("policy %q", policy.Name)
}
