package admin

import (
	"context"
	"crypto/subtle"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
)

// authenticate finds the operator of a call by the hash of its key. The
// bootstrap key is accepted only while the settings have no operator.
func (a *API) authenticate(c *call) *refusal.Refusal {
	if err := a.config.Ready(); err != nil {
		return refusal.New(refusal.NotReady, refusal.NotRun, "The router is not ready: "+err.Error()+".")
	}
	secret, ok := strings.CutPrefix(c.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return refusal.New(refusal.Unauthorized, refusal.NotRun, "The call has no operator key.")
	}
	hash := settings.HashSecret(secret)
	if operator, known := c.tree.OperatorsByKey[hash]; known {
		c.operator = operator
		return nil
	}
	bootstrap := a.config.BootstrapKey
	matches := subtle.ConstantTimeCompare([]byte(hash), []byte(bootstrap)) == 1
	if len(c.tree.Operators) == 0 && bootstrap != "" && matches {
		c.operator = settings.Bootstrap
		return nil
	}
	return refusal.New(refusal.Unauthorized, refusal.NotRun, "The operator key is not known.")
}

// requireAllRights refuses an operator who does not have all rights.
func (c *call) requireAllRights() *refusal.Refusal {
	if settings.MayChange(c.tree.Operators, c.operator, settings.AllPaths) {
		return nil
	}
	return forbidden("Only an operator with all rights may do this.")
}

// requireRightTo refuses an operator without the right to change a subtree.
func (c *call) requireRightTo(path settings.Path) *refusal.Refusal {
	if settings.MayChange(c.tree.Operators, c.operator, path) {
		return nil
	}
	return forbidden("Operator " + string(c.operator) + " has no right to " + string(path) + ".")
}

// waitForRateLimit waits for the operator's rate limit, at most queueTimeout.
func (a *API) waitForRateLimit(c *call) *refusal.Refusal {
	ctx, cancel := context.WithTimeout(c.Context(), queueTimeout)
	defer cancel()
	if err := a.limiter(c.operator).Wait(ctx); err != nil {
		refused := refusal.New(refusal.Overloaded, refusal.NotRun, "This operator makes too many changes.")
		refused.RetryAfter = queueTimeout
		return refused
	}
	return nil
}

func (a *API) limiter(operator ident.OperatorID) *rate.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	limiter := a.limiters[operator]
	if limiter == nil {
		limiter = rate.NewLimiter(operatorRate, operatorBurst)
		a.limiters[operator] = limiter
	}
	return limiter
}

// submitRefusal turns the failure of an append into a refusal. Unless the error says
// that nothing was written, the outcome is unknown and the client repeats the call
// with the same ID.
func submitRefusal(err error) *refusal.Refusal {
	if errors.Is(err, stream.ErrNotWritten) {
		return refusal.New(refusal.LogUnavailable, refusal.NotRun, "The log service did not take the change.")
	}
	return refusal.New(refusal.OutcomeUnknown, refusal.MayHaveRun,
		"The log service has not answered. Repeat the call with the same id to learn the outcome.")
}
