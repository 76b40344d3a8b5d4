package limits

import (
	"context"
	"fmt"
	"slices"

	"github.com/camphorlever/camphorlever/internal/counter"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

type handler struct {
	counters *counter.Set
}

// Handle refuses requests that the team may not send and sets the token bound.
func (h *handler) Handle(ctx context.Context, r *filter.Request, next filter.Next) filter.Outcome {
	r.Priority = validPriority(r.Team.Priority)
	check := h.checkModel
	if r.Route.Service != "" {
		check = h.checkService
	}
	if refused := check(r); refused != nil {
		return filter.Outcome{Refusal: refused}
	}
	return next(ctx, r)
}

func (h *handler) checkService(r *filter.Request) *refusal.Refusal {
	service, ok := r.Settings.Services[r.Route.Service]
	if !ok {
		return h.refuse("unknown_service", refusal.UnknownService, "There is no such service.")
	}
	if !slices.Contains(r.Team.Services, r.Route.Service) {
		return h.refuse("service_forbidden", refusal.Forbidden, "The team may not use this service.")
	}
	r.PromptBound = service.CostTokens
	return nil
}

func (h *handler) checkModel(r *filter.Request) *refusal.Refusal {
	model, ok := r.Settings.Models[r.Call.Model]
	if !ok {
		return h.refuse("unknown_model", refusal.UnknownModel, "There is no such model.")
	}
	if !slices.Contains(r.Team.Models, r.Call.Model) {
		return h.refuse("model_forbidden", refusal.Forbidden, "The team may not use this model.")
	}
	if r.Call.Adapter != "" && !slices.Contains(model.Adapters, r.Call.Adapter) {
		return h.refuse("unknown_adapter", refusal.UnknownModel, "The model has no such adapter.")
	}
	r.PromptBound = promptBound(r, model)
	return h.setMaxOutput(r, model)
}

// promptBound returns an upper bound of the prompt tokens. It holds because a
// token stands for at least one byte, and every byte of the prompt that is not
// part of the chat template is in the body.
func promptBound(r *filter.Request, model settings.Model) int64 {
	template := model.TemplateTokens
	if template <= 0 {
		template = defaultTemplateTokens
	}
	return int64(len(r.Call.Body)) + int64(r.MessageCount*template)
}

func (h *handler) setMaxOutput(r *filter.Request, model settings.Model) *refusal.Refusal {
	limit := int64(defaultMaxOutput)
	for _, n := range []int{r.Settings.Fleet.MaxOutputTokens, r.Team.MaxOutputTokens, model.ContextTokens} {
		if n > 0 {
			limit = min(limit, int64(n))
		}
	}
	if r.RequestedOutput > limit {
		return h.refuse("output_too_large", refusal.OutputTooLarge,
			fmt.Sprintf("The output limit asked for is %d tokens; at most %d are allowed.", r.RequestedOutput, limit))
	}
	r.MaxOutput = r.RequestedOutput
	if r.MaxOutput == 0 {
		r.MaxOutput = limit
	}
	return nil
}

func (h *handler) refuse(reason string, code refusal.Code, message string) *refusal.Refusal {
	h.counters.Inc(reason)
	return refusal.New(code, refusal.NotRun, message)
}

// validPriority replaces a priority that is out of range by the default. 0 is the
// highest priority, so a missing priority cannot be detected here; the settings
// fold sets the default for it.
func validPriority(p int) int {
	if p < 0 || p > lowestPriority {
		return defaultPriority
	}
	return p
}
