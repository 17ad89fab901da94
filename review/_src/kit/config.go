package kit

// HostName is the host of all routes, APIKey the key of the only tenant.
const (
	HostName = "api.example"
	APIKey   = "key-of-org"
)

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Type, Service string
	TimeoutMs, MaxAttempts      int
	Resumable                   bool
}

// ModelMB is the size of each model, EngineMB the memory of an engine, as the sheet of
// aqej-evalnet has them.
const ModelMB, EngineMB = 72700.0, 200000.0

// Config returns a configuration as an operator writes it, with an engine service "llm"
// for models and a plain service "app".
func Config(version int, models []string, routes ...Route) map[string]any {
	modelList := []any{}
	for _, name := range models {
		modelList = append(modelList, map[string]any{
			"name": name, "weightsMb": ModelMB, "loadS": 4.2, "adapters": 8, "adapterMb": 66.0, "warmS": 0.63, "diskS": 0.84,
		})
	}
	list := []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": HostName, "pathPrefix": r.Prefix, "type": r.Type, "timeoutMs": r.TimeoutMs, "objectiveMs": 3000,
			"priority": 1, "service": r.Service, "maxAttempts": r.MaxAttempts, "public": false, "sticky": false,
			"resumable": r.Resumable, "gapObjectiveMs": 250,
		})
	}
	return map[string]any{
		"version": version, "routes": list,
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
			map[string]any{
				"name": "llm", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvCapacity": 272282, "weightsMb": EngineMB, "adapterSlots": 8, "loadsPerS": 1.1,
					"models": modelList,
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "org", "apiKeys": []string{APIKey}, "ratePerS": 0, "burst": 0, "plainTokens": 200}},
	}
}
