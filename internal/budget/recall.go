package budget

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// RepayTo repays what is free of the loans from a lender that is being
// stopped and waits for it. It is called again until the lender is gone: runs
// in progress still use the rest.
func (g *Grants) RepayTo(ctx context.Context, lender ident.Incarnation) {
	for _, h := range g.hands() {
		h.release(lender)
		g.repayIdle(ctx, h, g.config.Now(), loanIdle)
	}
}

// release moves what is free of the loans from a lender to what is repaid.
func (h *hand) release(lender ident.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.loanFrom(lender); s != nil && !s.revoked {
		s.repaid += s.free
		s.free = 0
	}
}
