package main

import "fmt"

// route describes one route of the configuration.
type route struct {
	prefix, kind, service string
	timeoutMs             int
	attempts              int
	resumable             bool
	open                  bool // needs no key
}

// configuration returns a configuration like that of the small deployments.
func configuration(version int, routes []route, models ...string) map[string]any {
	wireRoutes := []any{}
	for index, route := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"Name": fmt.Sprintf("r-%d", index), "Host": host, "PathPrefix": route.prefix, "Kind": route.kind, "TimeoutMs": route.timeoutMs,
			"TargetLatencyMs": 500, "TargetGapMs": 300, "Priority": 1, "Service": route.service, "MaxAttempts": route.attempts,
			"AllowAnonymous": route.open, "Sticky": true, "Resumable": route.resumable,
		})
	}
	wireModels := []any{}
	for _, model := range models {
		wireModels = append(wireModels, map[string]any{
			"Name": model, "WeightsMb": 65000.0, "LoadS": loadTime.Seconds(), "WarmS": loadTime.Seconds(), "DiskS": loadTime.Seconds(), "Adapters": 12, "AdapterMb": 60.0,
		})
	}
	engine := map[string]any{"Slots": 64, "KvCapacity": 161844, "WeightsMb": 200000.0, "AdapterSlots": 8, "LoadsPerS": 1.5, "Models": wireModels}
	return map[string]any{
		"Version": version, "Routes": wireRoutes,
		"Services": []any{
			map[string]any{"Name": "llm", "HealthPath": "/health", "MaxConnections": 360, "Engine": engine},
			map[string]any{"Name": "app", "HealthPath": "/health", "MaxConnections": 96},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{key}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 1000000, "Burst": 1000000}},
	}
}
