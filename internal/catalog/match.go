package catalog

import (
	"net"
	"strings"
	"time"
)

// DefaultTimeout applies to routes without a timeout. A caller's shorter wait takes
// precedence over it.
const DefaultTimeout = 30 * time.Second

// TimeLimit returns the time limit of requests on the route.
func (r *Route) TimeLimit() time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return DefaultTimeout
}

// NormalizeHost returns the host in lower case, without a port. Hosts of requests
// are normalized before they are compared with those of routes.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
