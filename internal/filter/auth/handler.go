package auth

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

const scheme = "Bearer "

type handler struct {
	counters *counter.Set
}

// Handle looks up the key in the settings and sets the request's caller and team.
// It refuses an unknown key and a disabled client account.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	secret, ok := strings.CutPrefix(r.HTTP.Header.Get("Authorization"), scheme)
	if !ok || secret == "" {
		return h.refuse("missing_key", refusal.Unauthorized, "The Authorization header must be: Bearer KEY.")
	}
	// The tree is indexed by hash, so the time of the lookup does not depend on how
	// much of a secret was guessed.
	caller, ok := r.Settings.CallersByKey[hash(secret)]
	if !ok {
		return h.refuse("unknown_key", refusal.Unauthorized, "The key is not known.")
	}
	team, ok := r.Settings.Teams[caller.Team]
	if !ok {
		return h.refuse("unknown_team", refusal.Unauthorized, "The key's team does not exist.")
	}
	if team.Accounts[caller.Account].Disabled {
		return h.refuse("disabled", refusal.Forbidden, "The client account is disabled.")
	}
	r.Caller = caller
	r.Team = team
	return next(ctx, r)
}

func (h *handler) refuse(reason string, code refusal.Code, message string) filter.Outcome {
	h.counters.Inc(reason)
	return filter.Refused(code, refusal.NotRun, message)
}

func hash(secret string) settings.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return settings.KeyHash(hex.EncodeToString(sum[:]))
}
