package config

import (
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// maxTokensLimit is the highest max_tokens of a model, which limits the tokens
// of one request.
const maxTokensLimit = 1 << 24

var (
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// checkState checks the whole configuration that results from the change.
func (v *validator) checkState() {
	hashes := make(map[string]string)
	urls := make(map[string]string)
	for _, obj := range v.after.Objects(apiv1.Kind_KIND_UNSPECIFIED) {
		key := KeyOf(obj)
		switch spec := obj.Spec.(type) {
		case *apiv1.Object_Organisation:
			v.checkOrganisation(key, spec.Organisation)
		case *apiv1.Object_Key:
			v.checkKey(key, spec.Key)
			v.checkUnique(key, "secret_sha256", spec.Key.SecretSha256, hashes, "grant the key a secret of its own")
		case *apiv1.Object_Model:
			v.checkModel(key, spec.Model)
		case *apiv1.Object_ModelVersion:
			v.checkVersion(key, spec.ModelVersion)
		case *apiv1.Object_Adapter:
			v.checkAdapter(key, spec.Adapter)
		case *apiv1.Object_Endpoint:
			v.checkEndpoint(key, spec.Endpoint)
			v.checkUnique(key, "url", spec.Endpoint.Url, urls, "give each endpoint a URL of its own")
		case *apiv1.Object_Route:
			v.checkRoute(key, spec.Route)
		case *apiv1.Object_PlacementPolicy:
			v.checkPlacementPolicy(key, spec.PlacementPolicy)
		case *apiv1.Object_RatePolicy:
			v.checkRatePolicy(key, spec.RatePolicy)
		}
	}
	v.checkRoutesDistinct()
	v.checkRatePoliciesDistinct()
	v.checkPlacement()
}

// checkUnique reports a fault if an object in seen already has the value, and
// adds the value to seen otherwise.
func (v *validator) checkUnique(key ObjectKey, field, value string, seen map[string]string, remedy string) {
	if other, duplicate := seen[value]; duplicate {
		v.collision(key, ObjectKey{key.Kind, other}, field, "has the same; "+remedy)
		return
	}
	seen[value] = key.Name
}

// collision reports two objects that may not coexist, as a fault of the one that
// the change writes.
func (v *validator) collision(key, other ObjectKey, field, problem string) {
	if _, changed := v.index[key]; !changed {
		key, other = other, key
	}
	v.objectFault(key, field, "%s %q %s", KindName(other.Kind), other.Name, problem)
}

// checkReference reports whether the object that another one names exists, and
// reports a fault if it does not.
func (v *validator) checkReference(from ObjectKey, field string, to ObjectKey) bool {
	if v.after.Object(to.Kind, to.Name) != nil {
		return true
	}
	if i, ok := v.index[to]; ok && v.mutations[i].Delete {
		v.fault(mutationPath(i)+".delete", "%s %q is still named by %s %q (%s); delete or change that first", KindName(to.Kind), to.Name, KindName(from.Kind), from.Name, field)
		return false
	}
	v.objectFault(from, field, "%s %q does not exist; create it in the same change or before", KindName(to.Kind), to.Name)
	return false
}

func (v *validator) checkOrganisations(from ObjectKey, names []string) {
	seen := make(map[string]bool)
	for _, name := range names {
		v.checkReference(from, "organisations", ObjectKey{apiv1.Kind_KIND_ORGANISATION, name})
		if seen[name] {
			v.objectFault(from, "organisations", "%q is named twice; name it once", name)
		}
		seen[name] = true
	}
}

func (v *validator) checkNotNegative(key ObjectKey, field string, value int64) {
	if value < 0 {
		v.objectFault(key, field, "%d is negative; use 0 or more", value)
	}
}

func (v *validator) checkOrganisation(key ObjectKey, org *apiv1.Organisation) {
	if !isFinite(org.Weight) || org.Weight < 0 {
		v.objectFault(key, "weight", "%v is not a weight; use a number above 0, or 0 for the default of 1", org.Weight)
	}
	v.checkNotNegative(key, "key_staleness_limit_seconds", org.KeyStalenessLimitSeconds)
}

func (v *validator) checkKey(key ObjectKey, granted *apiv1.Key) {
	v.checkReference(key, "organisation", ObjectKey{apiv1.Kind_KIND_ORGANISATION, granted.Organisation})
	if !hashPattern.MatchString(granted.SecretSha256) {
		v.objectFault(key, "secret_sha256", "it is not a SHA-256 in lower-case hex; use key grant, which makes one")
	}
	earlier := v.before.Object(key.Kind, key.Name).GetKey()
	if earlier == nil {
		return
	}
	if earlier.Organisation != granted.Organisation {
		v.objectFault(key, "organisation", "a key never changes its organisation; grant a new key")
	}
	if earlier.SecretSha256 != granted.SecretSha256 {
		v.objectFault(key, "secret_sha256", "a key never changes its secret; grant a new key")
	}
	if earlier.Withdrawn && !granted.Withdrawn {
		v.objectFault(key, "withdrawn", "a withdrawn key stays withdrawn; grant a new key")
	}
}

func (v *validator) checkModel(key ObjectKey, model *apiv1.Model) {
	if v.after.Adapter(model.Name) != nil {
		v.collision(key, ObjectKey{apiv1.Kind_KIND_ADAPTER, model.Name}, "name", "has this name, and callers name both as models; choose another name")
	}
	v.checkOrganisations(key, model.Organisations)
	if model.MaxTokens < 0 || model.MaxTokens > maxTokensLimit {
		v.objectFault(key, "max_tokens", "%d is out of range; use 0 to %d", model.MaxTokens, maxTokensLimit)
	}
	if model.ServingVersion == "" {
		return
	}
	version := ObjectKey{apiv1.Kind_KIND_VERSION, model.ServingVersion}
	if !v.checkReference(key, "serving_version", version) {
		return
	}
	if owner := v.after.Version(model.ServingVersion).Model; owner != model.Name {
		v.objectFault(key, "serving_version", "version %q belongs to model %q; name a version of this model", model.ServingVersion, owner)
	}
}

func (v *validator) checkVersion(key ObjectKey, version *apiv1.Version) {
	v.checkReference(key, "model", ObjectKey{apiv1.Kind_KIND_MODEL, version.Model})
	v.checkMemory(key, version.MemoryBytes)
	if version.Weights == "" {
		v.objectFault(key, "weights", "the name of the weights is missing; name them as the weight store does")
	}
}

func (v *validator) checkMemory(key ObjectKey, bytes int64) {
	if bytes <= 0 {
		v.objectFault(key, "memory_bytes", "%d is not a size; give the accelerator memory in bytes", bytes)
	}
}

func (v *validator) checkAdapter(key ObjectKey, adapter *apiv1.Adapter) {
	v.checkReference(key, "model", ObjectKey{apiv1.Kind_KIND_MODEL, adapter.Model})
	v.checkOrganisations(key, adapter.Organisations)
	v.checkMemory(key, adapter.MemoryBytes)
}

func (v *validator) checkEndpoint(key ObjectKey, e *apiv1.Endpoint) {
	if !namePattern.MatchString(e.Zone) {
		v.objectFault(key, "zone", "%q is not a valid availability zone; %s", e.Zone, nameRule)
	}
	if problem := checkEndpointURL(e.Url); problem != "" {
		v.objectFault(key, "url", "%s", problem)
	}
	v.checkNotNegative(key, "max_concurrent", int64(e.MaxConcurrent))
	if _, known := apiv1.EndpointRole_name[int32(e.Role)]; !known {
		v.objectFault(key, "role", "%d is not a role; use prefill, decode or none", int32(e.Role))
	}
	switch e.Kind {
	case apiv1.EndpointKind_ENDPOINT_KIND_ENGINE:
		v.checkEngine(key, e)
	case apiv1.EndpointKind_ENDPOINT_KIND_SERVICE:
		v.checkName(key, "service", e.Service)
	default:
		v.objectFault(key, "kind", "%d is not a kind of endpoint; use engine or service", int32(e.Kind))
	}
}

func (v *validator) checkName(key ObjectKey, field, value string) {
	if !namePattern.MatchString(value) {
		v.objectFault(key, field, "%q is not a valid name; %s", value, nameRule)
	}
}

func (v *validator) checkEngine(key ObjectKey, e *apiv1.Endpoint) {
	v.checkMemory(key, e.MemoryBytes)
	v.checkNotNegative(key, "adapter_memory_bytes", e.AdapterMemoryBytes)
	if e.AdapterMemoryBytes > e.MemoryBytes {
		v.objectFault(key, "adapter_memory_bytes", "%d is more than memory_bytes, of which it is a part; lower it", e.AdapterMemoryBytes)
	}
	v.checkName(key, "pool", e.Pool)
}

// checkEndpointURL returns a description of what is wrong with an endpoint's
// URL, or "" if it is valid.
func checkEndpointURL(raw string) string {
	const remedy = "; use the form http://192.0.2.7:9000"
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return "it is not an http or https URL" + remedy
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return "the host is not an IP number" + remedy
	}
	if u.Port() == "" {
		return "the port is missing" + remedy
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "" {
		return "it has more than scheme, IP number and port" + remedy
	}
	return ""
}

func (v *validator) checkRoute(key ObjectKey, route *apiv1.Route) {
	v.checkName(key, "service", route.Service)
	if route.Method != "" && !methodPattern.MatchString(route.Method) {
		v.objectFault(key, "method", "%q is not an HTTP method; use one in capitals, or none for any", route.Method)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		v.objectFault(key, "path_prefix", "%q does not begin with a slash; begin it with one", route.PathPrefix)
	}
	if strings.Contains(route.PathPrefix, "..") || strings.ContainsAny(route.PathPrefix, "?#%\\") {
		v.objectFault(key, "path_prefix", "%q holds .. or one of ?#%%\\; use a plain path", route.PathPrefix)
	}
	v.checkNotNegative(key, "cost_tokens", route.CostTokens)
	v.checkOrganisations(key, route.Organisations)
	if route.Open && len(route.Organisations) > 0 {
		v.objectFault(key, "organisations", "an open route is for all callers; leave out one of the two")
	}
}

func (v *validator) checkRatePolicy(key ObjectKey, policy *apiv1.RatePolicy) {
	v.checkReference(key, "organisation", ObjectKey{apiv1.Kind_KIND_ORGANISATION, policy.Organisation})
	v.checkPositive(key, "tokens_per_second", policy.TokensPerSecond)
	v.checkPositive(key, "burst_tokens", policy.BurstTokens)
}

func (v *validator) checkPositive(key ObjectKey, field string, value float64) {
	if !isFinite(value) || value <= 0 {
		v.objectFault(key, field, "%v is not a limit; use a number above 0", value)
	}
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
