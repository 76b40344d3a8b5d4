package configcheck

import (
	"fmt"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

// accountLosses returns the accounts of the version in force whose requests would be
// refused.
func (c *draftCheck) accountLosses() []Loss {
	var losses []Loss
	for i, a := range c.active.Accounts {
		if c.activeSettings.Account(a.Name) != a {
			continue // a later one of that name is in force
		}
		if reason := c.accountLoss(a, c.active.AccountKeys[i]); reason != "" {
			losses = append(losses, Loss{Path: named(c.names.Accounts, a.Name), Reason: reason})
		}
	}
	return losses
}

func named(list, name string) string { return list + "[" + name + "]" }

// accountLoss returns why an account would lose service, empty if it would not.
func (c *draftCheck) accountLoss(a *catalog.Account, keys []string) string {
	if !c.settings.RequiresKey {
		return ""
	}
	next := c.settings.Account(a.Name)
	if next == nil {
		return "the account is removed"
	}
	valid, lost, moved := 0, 0, 0
	for _, key := range keys {
		if c.activeSettings.AccountByKey(key) != a {
			continue
		}
		valid++
		switch c.settings.AccountByKey(key) {
		case next:
		case nil:
			lost++
		default:
			moved++
		}
	}
	switch {
	case moved > 0:
		return fmt.Sprintf("%d of its %d keys go to another account, %d are removed", moved, valid, lost)
	case lost > 0:
		return fmt.Sprintf("%d of its %d keys are removed", lost, valid)
	case hasTokens(a) && !hasTokens(next):
		return "no prepaid tokens are left"
	default:
		return ""
	}
}

func hasTokens(a *catalog.Account) bool { return !a.Metered || a.PrepaidTokens > 0 }

// routeLosses returns the routes of the version in force whose requests would be
// refused.
func (c *draftCheck) routeLosses() []Loss {
	var losses []Loss
	for _, r := range c.active.Routes {
		if c.activeSettings.MatchRoute(r.Host, r.PathPrefix) != r || !isNormal(r.Host) || !hasService(r) {
			continue // it serves no requests now
		}
		if reason := c.routeLoss(r); reason != "" {
			losses = append(losses, Loss{Path: named(c.names.Routes, r.Name), Reason: reason})
		}
	}
	return losses
}

// routeLoss returns why requests on a route would lose service, empty if they would not.
func (c *draftCheck) routeLoss(r *catalog.Route) string {
	next := c.settings.MatchRoute(r.Host, r.PathPrefix)
	switch {
	case next == nil:
		return fmt.Sprintf("no route matches %s%s", r.Host, r.PathPrefix)
	case !hasService(next):
		return fmt.Sprintf("route %s has no service", next.Name)
	case c.settings.RequiresKey && !next.Anonymous && (r.Anonymous || !c.activeSettings.RequiresKey):
		return "requests without a key are refused"
	default:
		return ""
	}
}
