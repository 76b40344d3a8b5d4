// Package quarantine is the filter that refuses requests whose prompts have a part that
// crashes backend servers.
package quarantine

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/quarantine"
	"github.com/camphorlever/camphorlever/internal/refusal"
)

// Checker decides which requests are withheld.
type Checker interface {
	Check(parts []string) quarantine.Verdict
}

type handler struct {
	checker Checker
}

// New returns the filter.
func New(checker Checker) filter.Filter {
	return &handler{checker: checker}
}

// Handle refuses a request that is withheld, before tokens are reserved for it.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	p := r.Passthrough
	ids := make([]string, len(p.Call.Parts))
	for i, part := range p.Call.Parts {
		ids[i] = part.ID
	}
	p.QuarantineParts = quarantine.Parts(ids)
	if verdict := h.checker.Check(p.QuarantineParts); verdict.Blocked {
		return Refuse(r, verdict)
	}
	return next(ctx, r)
}

// Refuse returns the outcome of a request that has not run and is withheld, and adds the
// reason to its log trail.
func Refuse(r *filter.Request, verdict quarantine.Verdict) filter.Outcome {
	r.Note("prompt part in quarantine", func(e *zerolog.Event) {
		e.Str("prompt_part", verdict.Part).Int("crashes", verdict.Crashes)
	})
	out := filter.Refused(refusal.PromptQuarantined, refusal.NotRun, "A part of the prompt has crashed servers.")
	out.Refusal.RetryAfter = verdict.RetryAfter
	return out
}
