//go:build review

package main

const (
	// hostName is the name under which clients reach the routes, and key their API key.
	hostName = "hub.example"
	key      = "key-hub"
	zone     = "zone-a"
	// plainService and modelService are the services of the routes.
	plainService, modelService = "desk", "llm"
	// maxHeaderBytes limits the heads of requests.
	maxHeaderBytes = 16384
)

// route is a route of the configuration.
type route struct {
	Prefix, Kind, Service string
	Public                bool
}

// configuration returns the configuration of a small deployment.
func configuration(list []route) map[string]any {
	var routes []any
	for _, r := range list {
		stream := r.Kind == "stream"
		routes = append(routes, map[string]any{
			"name": r.Kind + r.Prefix, "host": hostName, "path_prefix": r.Prefix, "kind": r.Kind, "timeout_ms": 5000, "target_latency_ms": 800,
			"target_gap_ms": 400, "priority": 1, "service": r.Service, "max_attempts": 2, "public": r.Public, "sticky_sessions": stream, "resumable": stream,
		})
	}
	return map[string]any{
		"version": 7, "routes": routes,
		"services": []any{
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 100},
			map[string]any{"name": modelService, "health_path": "/healthz", "max_connections": 360, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 437633, "kv_token_bytes": 18432, "link_mbps": 740000, "most": 12, "kv_hold_s": 5, "switch_s": 3,
			}},
		},
		"limits":  map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hub", "api_keys": []string{key}, "priority": 1}},
	}
}
