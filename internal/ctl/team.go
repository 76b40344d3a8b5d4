package ctl

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// maxRaces bounds how often a change is made anew because another operator
// was first.
const maxRaces = 5

type teamCommands struct {
	Create teamCreate `cmd:"" help:"Create a team."`
}

type teamCreate struct {
	ID              ident.TeamID      `arg:"" help:"Identifier of the team."`
	Name            string            `help:"Name for people."`
	Models          []ident.ModelID   `help:"Models that the team may use."`
	Services        []ident.ServiceID `help:"Plain services that the team may use."`
	Priority        int               `help:"0 (first) to 9." default:"5"`
	Weight          int               `help:"Share under contention." default:"1"`
	Caution         float64           `help:"0 to 1: 1 refuses sooner, 0 answers longer during a cut." default:"0.5"`
	MaxOutputTokens int               `help:"Most output that one request may ask for." default:"4096"`
}

func (c *teamCreate) Run(s *Session) error {
	value, err := json.Marshal(settings.Team{
		Name:            c.Name,
		Accounts:        map[ident.AccountID]settings.Account{},
		Models:          c.Models,
		Services:        c.Services,
		Priority:        c.Priority,
		Weight:          c.Weight,
		Caution:         c.Caution,
		MaxOutputTokens: c.MaxOutputTokens,
	})
	if err != nil {
		return err
	}
	return s.change(teamPath(c.ID), Change{ID: orNew(""), Base: ident.NoOffset, Value: value}, false)
}

type accountCommands struct {
	Create accountCreate `cmd:"" help:"Create a client account of a team."`
}

type accountCreate struct {
	Team    ident.TeamID    `arg:"" help:"Team."`
	Account ident.AccountID `arg:"" help:"Identifier of the account."`
}

// Run adds the account to the team's subtree, anew if another change of the
// subtree came first.
func (c *accountCreate) Run(s *Session) error {
	for race := 0; ; race++ {
		err := c.add(s)
		var refused *Refused
		lost := errors.As(err, &refused) && refused.Status == http.StatusConflict
		if !lost || race == maxRaces {
			return err
		}
	}
}

func (c *accountCreate) add(s *Session) error {
	present, err := s.subtree(teamPath(c.Team))
	if err != nil {
		return err
	}
	if present.Version == ident.NoOffset {
		return errors.Errorf("team %s does not exist", c.Team)
	}
	team := settings.DefaultTeam()
	if err := json.Unmarshal(present.Value, &team); err != nil {
		return errors.Wrapf(err, "team %s", c.Team)
	}
	if _, ok := team.Accounts[c.Account]; ok {
		return errors.Errorf("account %s exists already", c.Account)
	}
	if team.Accounts == nil {
		team.Accounts = map[ident.AccountID]settings.Account{}
	}
	team.Accounts[c.Account] = settings.Account{}
	value, err := json.Marshal(team)
	if err != nil {
		return err
	}
	return s.change(teamPath(c.Team), Change{ID: orNew(""), Base: present.Version, Value: value}, false)
}

func teamPath(team ident.TeamID) string {
	return "teams/" + string(team)
}

type keyCommands struct {
	Create keyCreate `cmd:"" help:"Make a key for a client account; its secret is shown once."`
	Lookup keyLookup `cmd:"" help:"Show what became of a request by its idempotency key."`
}

type keyCreate struct {
	Team    ident.TeamID    `arg:"" help:"Team." json:"team"`
	Account ident.AccountID `arg:"" help:"Client account." json:"account"`
}

// Run makes the call once: the secret of a lost answer is lost with it.
func (c *keyCreate) Run(s *Session) error {
	var document json.RawMessage
	err := s.client.WriteOnce(s.ctx, http.MethodPost, "keys", c, &document)
	var unknown *Unknown
	if errors.As(err, &unknown) {
		return errors.WithMessagef(err, "a key whose secret nobody knows may have been added to teams/%s", c.Team)
	}
	if err != nil {
		return err
	}
	return s.show(document)
}

type keyLookup struct {
	Team ident.TeamID `arg:"" help:"Team."`
	Key  string       `arg:"" help:"Idempotency key of the request."`
}

func (c *keyLookup) Run(s *Session) error {
	return s.get(joinPath("keys", string(c.Team), c.Key))
}
