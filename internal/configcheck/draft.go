package configcheck

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/camphorlever/camphorlever/internal/catalog"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// smallestVMBytes is the memory of the smallest VM that a router runs on, 134 MB. A
// router buffers the whole body of a request.
const smallestVMBytes = 134 << 20

// draftCheck is what the findings about a draft work on.
type draftCheck struct {
	draft    *catalog.Draft
	settings *catalog.Settings
	names    catalog.Names

	// Of the version in force; nil if it is not known.
	active         *catalog.Draft
	activeSettings *catalog.Settings
}

// reporter adds a finding with a path.
type reporter func(path, format string, args ...any)

// draftFinding is a kind of finding.
type draftFinding struct {
	id       string
	severity Severity
	find     func(c *draftCheck, report reporter)
}

var draftFindings = []draftFinding{
	{"route-shadowed", Error, findShadowedRoutes},
	{"duplicate-host", Error, findDuplicateHosts},
	{"host-never-matches", Error, findHosts},
	{"prefix-never-matches", Error, findPrefixes},
	{"prefix-without-slash", Note, findOpenPrefixes},
	{"route-without-service", Error, findRoutesWithoutService},
	{"unknown-service", Warning, findUnknownServices},
	{"service-without-route", Warning, findServicesWithoutRoute},
	{"duplicate-service", Error, findDuplicateServices},
	{"account-without-key", Warning, findAccountsWithoutKey},
	{"duplicate-account", Error, findDuplicateAccounts},
	{"duplicate-key", Error, findDuplicateKeys},
	{"repeated-key", Note, findRepeatedKeys},
	{"latency-above-timeout", Warning, findLatencies},
	{"gap-above-timeout", Warning, findGaps},
	{"priority-out-of-range", Warning, findPriorities},
	{"priorities-equal", Note, findEqualPriorities},
	{"body-limit-above-memory", Error, findBodyLimit},
	{"version-not-newer", Error, findOldVersion},
	{"prepaid-reduced", Warning, findReducedPrepaid},
	{"keys-not-required", Warning, findOpenAccess},
}

// checkPlatform adds the findings about a document of the platform's format and the
// losses of service. Active may be nil.
func checkPlatform(r *Report, doc, active *document, format PlatformFormat) {
	draft, err := format.Decode(doc.raw)
	if err != nil {
		r.refuse(doc, "", err)
		return
	}
	c := &draftCheck{draft: draft, settings: catalog.Build(*draft), names: format.Names}
	if active != nil {
		c.active, err = format.Decode(active.raw)
		if err != nil {
			r.AddFinding(Error, "active-unreadable", "the version in force: "+err.Error())
			c.active = nil
		} else {
			c.activeSettings = catalog.Build(*c.active)
		}
	}
	for _, kind := range draftFindings {
		kind.find(c, func(path, format string, args ...any) {
			r.Findings = append(r.Findings, Finding{
				Severity: kind.severity, ID: kind.id, Path: path, Line: doc.lineOf(path), Message: fmt.Sprintf(format, args...),
			})
		})
	}
	if c.active != nil {
		r.Losses = append(append(r.Losses, c.accountLosses()...), c.routeLosses()...)
	}
}

// Paths of fields.

func (c *draftCheck) route(i int, field string) string { return at(c.names.Routes, i, field) }

func (c *draftCheck) service(i int) string { return at(c.names.Services, i, "") }

func (c *draftCheck) account(i int, field string) string { return at(c.names.Accounts, i, field) }

func (c *draftCheck) key(i, j int) string { return at(c.account(i, c.names.AccountKeys), j, "") }

func at(list string, i int, field string) string {
	path := fmt.Sprintf("%s[%d]", list, i)
	if field == "" {
		return path
	}
	return path + "." + field
}

// findShadowedRoutes finds routes that follow one with the same host and prefix, which
// gets all requests.
func findShadowedRoutes(c *draftCheck, report reporter) {
	type place struct{ host, prefix string }
	first := map[place]int{}
	for i, r := range c.draft.Routes {
		p := place{r.Host, r.PathPrefix}
		if j, ok := first[p]; ok {
			report(c.route(i, c.names.RoutePrefix), "never matches: %s (%s) has the same host and prefix", c.route(j, ""), c.draft.Routes[j].Name)
			continue
		}
		first[p] = i
	}
}

// findDuplicateHosts finds hosts that are a second spelling of another one.
func findDuplicateHosts(c *draftCheck, report reporter) {
	normal := map[string]int{}
	for i, r := range c.draft.Routes {
		if _, ok := normal[r.Host]; !ok && isNormal(r.Host) {
			normal[r.Host] = i
		}
	}
	for i, r := range c.draft.Routes {
		if j, ok := normal[catalog.NormalizeHost(r.Host)]; ok && !isNormal(r.Host) {
			report(c.route(i, c.names.RouteHost), "never matches: %q is the same host as %q of %s", r.Host, c.draft.Routes[j].Host, c.route(j, ""))
		}
	}
}

func isNormal(host string) bool { return catalog.NormalizeHost(host) == host }

// findHosts finds hosts that no request has, unless they duplicate another.
func findHosts(c *draftCheck, report reporter) {
	hosts := map[string]bool{}
	for _, r := range c.draft.Routes {
		hosts[r.Host] = true
	}
	for i, r := range c.draft.Routes {
		if r.Host == "" {
			report(c.route(i, c.names.RouteHost), "never matches: the route has no host")
			continue
		}
		if normal := catalog.NormalizeHost(r.Host); normal != r.Host && !hosts[normal] {
			report(c.route(i, c.names.RouteHost), "never matches: requests for %q are matched as %q", r.Host, normal)
		}
	}
}

// findPrefixes finds prefixes that the path of no request has. An empty prefix matches
// all paths, unless the host has the longer prefix "/".
func findPrefixes(c *draftCheck, report reporter) {
	roots := map[string]int{} // routes with the prefix "/", by host
	for i, r := range c.draft.Routes {
		if r.PathPrefix == "/" {
			roots[r.Host] = i
		}
	}
	for i, r := range c.draft.Routes {
		path := c.route(i, c.names.RoutePrefix)
		if r.PathPrefix == "" {
			if j, ok := roots[r.Host]; ok {
				report(path, "never matches: %s (%s) gets all paths of the host", c.route(j, ""), c.draft.Routes[j].Name)
			}
			continue
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || !isEscaped(r.PathPrefix) {
			report(path, "never matches: no path begins with %q", r.PathPrefix)
		}
	}
}

// isEscaped reports whether a path stays the same when it is escaped as the paths of
// requests are.
func isEscaped(path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil {
		return false
	}
	return (&url.URL{Path: plain, RawPath: path}).EscapedPath() == path
}

// findOpenPrefixes finds prefixes that end within a segment of the path.
func findOpenPrefixes(c *draftCheck, report reporter) {
	for i, r := range c.draft.Routes {
		if strings.HasPrefix(r.PathPrefix, "/") && !strings.HasSuffix(r.PathPrefix, "/") {
			report(c.route(i, c.names.RoutePrefix), "%q has no slash at its end, so it also matches %q", r.PathPrefix, r.PathPrefix+"x")
		}
	}
}

// getsRequests reports whether requests on a route go to one of its targets.
func getsRequests(r *catalog.Route, t catalog.Target) bool {
	return t.Weight > 0 || len(r.Targets) == 1
}

// hasService reports whether requests on a route get a service.
func hasService(r *catalog.Route) bool {
	return slices.ContainsFunc(r.Targets, func(t catalog.Target) bool { return t.Service != "" && getsRequests(r, t) })
}

func findRoutesWithoutService(c *draftCheck, report reporter) {
	for i, r := range c.draft.Routes {
		if !hasService(r) {
			report(c.route(i, ""), "names no service, or all weights are zero")
			continue
		}
		if slices.ContainsFunc(r.Targets, func(t catalog.Target) bool { return t.Service == "" && getsRequests(r, t) }) {
			report(c.route(i, c.names.RouteSplit), "a part of the requests gets no service")
		}
	}
}

// serviceField returns the field that names the services of a route.
func (c *draftCheck) serviceField(r *catalog.Route) string {
	if len(r.Targets) > 1 {
		return c.names.RouteSplit
	}
	return c.names.RouteService
}

func findUnknownServices(c *draftCheck, report reporter) {
	for i, r := range c.draft.Routes {
		for _, t := range r.Targets {
			if t.Service != "" && c.settings.Service(t.Service) == nil {
				report(c.route(i, c.serviceField(r)), "service %q is not listed", t.Service)
			}
		}
	}
}

// findServicesWithoutRoute finds services that no route sends requests to.
func findServicesWithoutRoute(c *draftCheck, report reporter) {
	used := map[string]bool{}
	for _, r := range c.draft.Routes {
		for _, t := range r.Targets {
			if getsRequests(r, t) {
				used[t.Service] = true
			}
		}
	}
	for i, s := range c.draft.Services {
		if !used[s.Name] {
			report(c.service(i), "no route sends requests to service %q", s.Name)
		}
	}
}

func findDuplicateServices(c *draftCheck, report reporter) {
	first := map[string]int{}
	for i, s := range c.draft.Services {
		if j, ok := first[s.Name]; ok {
			report(c.service(i), "service %q is also %s; the last one counts", s.Name, c.service(j))
			continue
		}
		first[s.Name] = i
	}
}

// findAccountsWithoutKey finds accounts that no request can belong to.
func findAccountsWithoutKey(c *draftCheck, report reporter) {
	for i, keys := range c.draft.AccountKeys {
		if len(keys) == 0 {
			report(c.account(i, ""), "account %q has no key", c.draft.Accounts[i].Name)
		}
	}
}

func findDuplicateAccounts(c *draftCheck, report reporter) {
	first := map[string]int{}
	for i, a := range c.draft.Accounts {
		if j, ok := first[a.Name]; ok {
			report(c.account(i, ""), "account %q is also %s; the last one counts", a.Name, c.account(j, ""))
			continue
		}
		first[a.Name] = i
	}
}

// findDuplicateKeys finds keys of two accounts: requests belong to the last of them. The
// key itself is a secret and not reported.
func findDuplicateKeys(c *draftCheck, report reporter) {
	type place struct{ account, key int }
	first := map[string]place{}
	for i, keys := range c.draft.AccountKeys {
		for j, key := range keys {
			p, ok := first[key]
			if !ok {
				first[key] = place{i, j}
				continue
			}
			if owner := c.draft.Accounts[p.account].Name; owner != c.draft.Accounts[i].Name {
				report(c.key(i, j), "account %q has the same key (%s); the last one gets its requests", owner, c.key(p.account, p.key))
			}
		}
	}
}

// findRepeatedKeys finds keys that one account has twice.
func findRepeatedKeys(c *draftCheck, report reporter) {
	for i, keys := range c.draft.AccountKeys {
		seen := make(map[string]int, len(keys))
		for j, key := range keys {
			if earlier, ok := seen[key]; ok {
				report(c.key(i, j), "is the same key as %s", c.key(i, earlier))
				continue
			}
			seen[key] = j
		}
	}
}

func findLatencies(c *draftCheck, report reporter) {
	for i, r := range c.draft.Routes {
		if r.LatencyObjective > r.TimeLimit() {
			report(c.route(i, c.names.RouteLatency), "the objective, %v, is above the timeout, %s", r.LatencyObjective, timeLimit(r))
		}
	}
}

func findGaps(c *draftCheck, report reporter) {
	for i, r := range c.draft.Routes {
		if r.MaxEventGap > r.TimeLimit() {
			report(c.route(i, c.names.RouteGap), "the objective, %v, is above the timeout, %s", r.MaxEventGap, timeLimit(r))
		}
	}
}

func timeLimit(r *catalog.Route) string {
	if r.Timeout > 0 {
		return r.Timeout.String()
	}
	return (r.TimeLimit() / time.Second * time.Second).String() + " where none is set"
}

// findPriorities finds priorities beyond the range, which are the same as the nearest
// one within it.
func findPriorities(c *draftCheck, report reporter) {
	check := func(path string, priority int) {
		if nearest := min(max(priority, 0), settings.MaxPriority); nearest != priority {
			report(path, "%d cannot be distinguished from %d: priorities are 0 to %d", priority, nearest, settings.MaxPriority)
		}
	}
	for i, r := range c.draft.Routes {
		check(c.route(i, c.names.RoutePriority), r.Priority)
	}
	for i, a := range c.draft.Accounts {
		if a.OverridesPriority {
			check(c.account(i, c.names.AccountPriority), a.Priority)
		}
	}
}

// findEqualPriorities finds accounts with a priority of their own where it makes no
// difference, since all routes and accounts have the same.
func findEqualPriorities(c *draftCheck, report reporter) {
	if len(c.draft.Routes) == 0 {
		return
	}
	common := c.draft.Routes[0].Priority
	for _, r := range c.draft.Routes {
		if r.Priority != common {
			return
		}
	}
	first, overriding := 0, 0
	for i, a := range c.draft.Accounts {
		if !a.OverridesPriority {
			continue
		}
		if a.Priority != common {
			return
		}
		if overriding == 0 {
			first = i
		}
		overriding++
	}
	if overriding > 0 {
		report(c.account(first, c.names.AccountPriority), "has no effect: all routes and accounts have the priority %d", common)
	}
}

func findBodyLimit(c *draftCheck, report reporter) {
	if limit := c.draft.Limits.MaxBodyBytes; limit > smallestVMBytes {
		report(c.names.BodyLimit, "%d bytes are above the memory of the smallest VM, %d", limit, smallestVMBytes)
	}
}

// findOldVersion finds a version that routers ignore.
func findOldVersion(c *draftCheck, report reporter) {
	if c.active != nil && c.draft.Version <= c.active.Version {
		report(c.names.Version, "routers ignore %d: the version in force is %d", c.draft.Version, c.active.Version)
	}
}

// findReducedPrepaid finds accounts with fewer prepaid tokens than in force. The tokens
// are a total that may have been consumed already.
func findReducedPrepaid(c *draftCheck, report reporter) {
	if c.active == nil {
		return
	}
	for i, a := range c.draft.Accounts {
		old := c.activeSettings.Account(a.Name)
		switch {
		case old == nil || !a.Metered:
		case !old.Metered:
			report(c.account(i, c.names.AccountPrepaid), "account %q had no limit, now %d tokens", a.Name, a.PrepaidTokens)
		case a.PrepaidTokens < old.PrepaidTokens:
			report(c.account(i, c.names.AccountPrepaid), "account %q had %d tokens, now %d", a.Name, old.PrepaidTokens, a.PrepaidTokens)
		}
	}
}

// findOpenAccess finds that requests would need no key any more.
func findOpenAccess(c *draftCheck, report reporter) {
	if c.active != nil && c.activeSettings.RequiresKey && !c.settings.RequiresKey {
		report(c.names.Accounts, "no account is left, so requests need no key")
	}
}
