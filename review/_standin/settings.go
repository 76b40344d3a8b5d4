package main

import "github.com/camphorlever/camphorlever/platform/standin"

// orderSettings returns the operators' settings with a plain service for requests that
// must not be repeated.
func orderSettings() string {
	return `{"version":1,"routes":[{"name":"r-o","host":"` + standin.Host + `","path_prefix":"/o/","route_kind":"non_idempotent","service":"orders",` +
		`"timeout_ms":1000,"target_latency_ms":150,"priority":2,"max_attempts":2}],"services":[{"name":"orders","connection_limit":100}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
		`"tenants":[{"name":"a","api_keys":["k"],"prepaid_tokens":8772356}]}`
}
