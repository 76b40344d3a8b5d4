package admin

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// topUpBody is the request body of a top-up. Its ID makes it idempotent.
type topUpBody struct {
	ID     string       `json:"id"`
	Team   ident.TeamID `json:"team"`
	Tokens int64        `json:"tokens"`
}

// topUpDocument is the response to a top-up.
type topUpDocument struct {
	topUpBody
	Repeated bool           `json:"repeated"` // the same ID was accepted before
	Budget   budgetDocument `json:"budget"`
}

// budgetDocument is a team's budget in tokens.
type budgetDocument struct {
	Team   ident.TeamID `json:"team"`
	TopUps int64        `json:"top_ups"`
	Billed int64        `json:"billed"`
	Held   int64        `json:"held"` // outstanding grants of routers
	Free   int64        `json:"free"`
	// Stale is the error because of which the figures may be out of date; empty
	// if they are current.
	Stale string `json:"stale,omitempty"`
}

// topUp adds tokens to a budget. Repeating a call with the same ID has no
// further effect.
func (a *API) topUp(c *call) (any, *refusal.Refusal) {
	var body topUpBody
	if refused := c.decode(&body); refused != nil {
		return nil, refused
	}
	if refused := checkTopUp(c, body); refused != nil {
		return nil, refused
	}
	if refused := a.waitForRateLimit(c); refused != nil {
		return nil, refused
	}
	r, err := record.New(ledger.KindTopUp, ledger.TopUp{Team: body.Team, ID: body.ID, Tokens: body.Tokens, Author: c.operator})
	if err != nil {
		return nil, badRequest(err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Context(), submitTimeout)
	defer cancel()
	verdicts, err := a.config.Ledger.Submit(ctx, body.Team, r)
	if err != nil {
		return nil, submitRefusal(err)
	}
	outcome := verdicts[0].Outcome
	if outcome != ledger.Accepted && outcome != ledger.Repeated {
		return nil, badRequest("The ledger refused the top-up as invalid.")
	}
	a.counts.Inc("top_up")
	return topUpDocument{topUpBody: body, Repeated: outcome == ledger.Repeated, Budget: a.budgetDocumentOf(body.Team)}, nil
}

func checkTopUp(c *call, body topUpBody) *refusal.Refusal {
	switch {
	case body.ID == "":
		return badRequest("id: want an identifier of the payment.")
	case body.Tokens <= 0:
		return badRequest("tokens: want a positive number.")
	}
	if _, ok := c.tree.Teams[body.Team]; !ok {
		return refusal.New(refusal.NotFound, refusal.NotRun, "There is no team "+string(body.Team)+".")
	}
	if !settings.MayTopUp(c.tree.Operators, c.operator, body.Team) {
		return forbidden("Operator " + string(c.operator) + " may not top up " + string(body.Team) + ".")
	}
	return nil
}

func (a *API) budgetDocumentOf(team ident.TeamID) budgetDocument {
	var b ledger.Budget
	a.config.Ledger.View(team, func(s *ledger.State) { b = s.Budget(team) })
	document := budgetDocument{Team: team, TopUps: b.TopUps, Billed: b.Billed, Held: b.Outstanding, Free: b.Free}
	if syncErr := a.config.Ledger.SyncError(team); syncErr != nil {
		document.Stale = syncErr.Error()
	}
	return document
}

func (c *call) team() (ident.TeamID, *refusal.Refusal) {
	team := ident.TeamID(c.params.ByName("team"))
	if _, ok := c.tree.Teams[team]; !ok {
		return team, refusal.New(refusal.NotFound, refusal.NotRun, "There is no team "+string(team)+".")
	}
	return team, nil
}

// budget returns a team's budget.
func (a *API) budget(c *call) (any, *refusal.Refusal) {
	team, refused := c.team()
	if refused != nil {
		return nil, refused
	}
	return a.budgetDocumentOf(team), nil
}

// grantDocument is one router's grant, in tokens.
type grantDocument struct {
	Holder   ident.Incarnation `json:"holder"`
	VM       ident.VMID        `json:"vm"`
	Granted  int64             `json:"granted"`
	Returned int64             `json:"returned"`
	Billed   int64             `json:"billed"`
	Held     int64             `json:"held"`
}

// ledgerDocument is a team's budget and its grants.
type ledgerDocument struct {
	budgetDocument
	Grants []grantDocument `json:"grants"`
}

// ledger returns a team's budget and the grants of it with their holders.
func (a *API) ledger(c *call) (any, *refusal.Refusal) {
	team, refused := c.team()
	if refused != nil {
		return nil, refused
	}
	var grants []ledger.Grant
	a.config.Ledger.View(team, func(s *ledger.State) { grants = s.Grants(team) })
	document := ledgerDocument{budgetDocument: a.budgetDocumentOf(team), Grants: []grantDocument{}}
	for _, g := range grants {
		document.Grants = append(document.Grants, a.grantDocumentOf(g))
	}
	return document, nil
}

func (a *API) grantDocumentOf(g ledger.Grant) grantDocument {
	member, _ := a.config.Fleet.Members().Member(g.Holder)
	return grantDocument{
		Holder:   g.Holder,
		VM:       member.Registration.VM,
		Granted:  g.Granted,
		Returned: g.Returned,
		Billed:   g.Billed,
		Held:     g.Outstanding(),
	}
}
