package ctl

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// TopUp is the body of a top-up. Repeating it with the same identifier has no
// further effect.
type TopUp struct {
	ID     string       `json:"id"`
	Team   ident.TeamID `json:"team"`
	Tokens int64        `json:"tokens"`
}

type topUpCommand struct {
	Team   ident.TeamID `arg:"" help:"Team."`
	Tokens int64        `arg:"" help:"Tokens to add."`
	ID     string       `help:"Identifier of the payment; repeat it to learn of a lost answer. A new one if left out."`
}

// Run repeats the top-up with one identifier until its outcome is known.
func (c *topUpCommand) Run(s *Session) error {
	if c.Tokens <= 0 {
		return errors.New("tokens: want a positive number")
	}
	id := orNew(c.ID)
	var document json.RawMessage
	body := TopUp{ID: id, Team: c.Team, Tokens: c.Tokens}
	if err := s.client.Write(s.ctx, http.MethodPost, "topups", body, &document); err != nil {
		return errors.WithMessagef(err, "top-up with --id %s", id)
	}
	return s.show(document)
}

type budgetCommand struct {
	Team ident.TeamID `arg:"" help:"Team."`
}

func (c *budgetCommand) Run(s *Session) error {
	return s.get(joinPath("teams", string(c.Team), "budget"))
}

type ledgerCommand struct {
	Team ident.TeamID `arg:"" help:"Team."`
}

func (c *ledgerCommand) Run(s *Session) error {
	return s.get(joinPath("ledger", string(c.Team)))
}

// joinPath escapes the elements of a path.
func joinPath(elements ...string) string {
	for i, element := range elements {
		elements[i] = url.PathEscape(element)
	}
	return strings.Join(elements, "/")
}
