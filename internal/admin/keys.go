package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/sourcegraph/conc/pool"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/wire"
)

const (
	secretBytes = 24
	// maxRaces bounds how often a new key is added anew because another
	// change of the team came first.
	maxRaces = 5
)

// keyBody names the client account of a new key.
type keyBody struct {
	Team    ident.TeamID    `json:"team"`
	Account ident.AccountID `json:"account"`
}

// keyDocument holds a new key. Only its hash is stored.
type keyDocument struct {
	keyBody
	Secret  string       `json:"secret"`
	Version ident.Offset `json:"version"`
}

// makeKey adds a key to a client account and returns it, this once.
func (a *API) makeKey(c *call) (any, *refusal.Refusal) {
	var body keyBody
	if refused := c.decode(&body); refused != nil {
		return nil, refused
	}
	secret := newSecret()
	for race := 0; ; race++ {
		version, refused := a.addKey(c, body, settings.HashSecret(secret))
		if refused == nil {
			return keyDocument{keyBody: body, Secret: secret, Version: version}, nil
		}
		if refused.Code != refusal.ConflictingVersion || race == maxRaces {
			return nil, refused
		}
	}
}

func newSecret() string {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // never fails
	return "ck_" + hex.EncodeToString(raw)
}

// addKey adds the hash of a key to a client account.
func (a *API) addKey(c *call, body keyBody, hash settings.KeyHash) (ident.Offset, *refusal.Refusal) {
	path := settings.Path("teams/" + body.Team)
	present := a.subtree(path)
	if len(present.Value) == 0 {
		return 0, refusal.New(refusal.NotFound, refusal.NotRun, "There is no team "+string(body.Team)+".")
	}
	team := settings.DefaultTeam()
	if err := json.Unmarshal(present.Value, &team); err != nil {
		return 0, badRequest(err.Error())
	}
	account, ok := team.Accounts[body.Account]
	if !ok {
		return 0, refusal.New(refusal.NotFound, refusal.NotRun, "There is no client account "+string(body.Account)+".")
	}
	account.KeyHashes = append(account.KeyHashes, hash)
	team.Accounts[body.Account] = account
	value, err := json.Marshal(team)
	if err != nil {
		return 0, badRequest(err.Error())
	}
	verdict, refused := a.publish(c, settings.Change{
		ID:     ident.NewNonce().String(),
		Path:   path,
		Base:   present.Version,
		Author: c.operator,
		Value:  value,
	})
	if refused != nil {
		return 0, refused
	}
	a.awaitForce(c.Context(), verdict.Version)
	return verdict.Version, nil
}

// Outcomes of a look-up.
const (
	outcomeUnknownKey = "not_known"
	outcomeRunning    = "running"
	outcomeRan        = "ran"
	outcomeSealed     = "not_run"
	outcomeUnknown    = "unknown"
)

// claimDocument is the claim of a key that must not be repeated.
type claimDocument struct {
	Gate   ident.Incarnation `json:"gate"`
	Server ident.ServerID    `json:"server"` // empty if the gate is over
	Over   bool              `json:"gate_over"`
	Offset ident.Offset      `json:"offset"`
}

// gateDocument is what one gate knows of a key.
type gateDocument struct {
	Gate   ident.Incarnation `json:"gate"`
	Server ident.ServerID    `json:"server"`
	State  string            `json:"state"`
	Run    string            `json:"run"`
}

// lookUpDocument is the answer to a look-up.
type lookUpDocument struct {
	Key     string         `json:"key"`
	Outcome string         `json:"outcome"`
	Advice  string         `json:"advice"`
	Claim   *claimDocument `json:"claim"`
	Gates   []gateDocument `json:"gates"`
	Silent  []string       `json:"silent"` // backend servers whose side process did not answer
}

// lookUp tells what became of a request by its idempotency key.
func (a *API) lookUp(c *call) (any, *refusal.Refusal) {
	team, refused := c.team()
	if refused != nil {
		return nil, refused
	}
	key := ident.HashKey(team, c.params.ByName("key"))
	document := lookUpDocument{Key: key.String(), Gates: []gateDocument{}, Silent: []string{}}
	document.Claim = a.claim(team, key)
	a.askGates(c.Context(), key, &document)
	document.conclude()
	return document, nil
}

func (a *API) claim(team ident.TeamID, key ident.Key) *claimDocument {
	var holder ledger.ClaimHolder
	var found bool
	a.config.Ledger.View(team, func(s *ledger.State) { holder, found = s.Claim(key) })
	if !found {
		return nil
	}
	member, _ := a.config.Fleet.Members().Member(holder.Gate)
	return &claimDocument{
		Gate:   holder.Gate,
		Server: member.Registration.Server,
		Over:   a.config.Fleet.Members().Sealed(holder.Gate),
		Offset: holder.Offset,
	}
}

// askGates asks every live gate what it knows of a key.
func (a *API) askGates(ctx context.Context, key ident.Key, document *lookUpDocument) {
	sides := a.config.Fleet.Members().Sides
	replies := make([]*wire.LookupReply, len(sides))
	ask := pool.New().WithMaxGoroutines(pingsAtOnce)
	for i, side := range sides {
		ask.Go(func() { replies[i] = a.askGate(ctx, side, key) })
	}
	ask.Wait()
	for i, side := range sides {
		switch {
		case replies[i] == nil:
			document.Silent = append(document.Silent, string(side.Registration.Server))
		case replies[i].State != wire.KeyUnknown:
			document.Gates = append(document.Gates, gateDocument{
				Gate:   side.Incarnation,
				Server: side.Registration.Server,
				State:  stateName(replies[i].State),
				Run:    replies[i].Run.String(),
			})
		}
	}
}

func (a *API) askGate(ctx context.Context, side fleet.Member, key ident.Key) *wire.LookupReply {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	args := wire.LookupArgs{Offsets: a.config.Fleet.Offsets(), Key: key}
	var reply wire.LookupReply
	if err := a.config.Peers.Caller(side).Call(ctx, wire.MethodSideLookup, &args, &reply); err != nil {
		a.counts.Inc("lookup_failed")
		return nil
	}
	return &reply
}

func stateName(state wire.KeyState) string {
	switch state {
	case wire.KeyRunning:
		return outcomeRunning
	case wire.KeyDone:
		return outcomeRan
	case wire.KeySealed:
		return outcomeSealed
	default:
		return outcomeUnknownKey
	}
}

// conclude says in one word what became of the request, and what to do.
func (d *lookUpDocument) conclude() {
	for _, gate := range d.Gates {
		if gate.State == outcomeRunning || gate.State == outcomeRan {
			d.Outcome = gate.State
			d.Advice = "Repeat the request with the same key to get its answer."
			return
		}
	}
	switch {
	case d.Claim != nil && d.Claim.Over:
		d.Outcome = outcomeUnknown
		d.Advice = "The backend server's side process ended after the claim. Look at the plain service whether it has the request; it will not be run again under this key."
	case len(d.Silent) > 0:
		d.Outcome = outcomeUnknown
		d.Advice = "Some side processes did not answer. Ask again."
	case d.Claim != nil:
		d.Outcome = outcomeSealed
		d.Advice = "The key was claimed and has not run. Repeat the request with the same key."
	default:
		d.Outcome = outcomeUnknownKey
		d.Advice = "No live side process has run the key. A run of a process that has ended since is not remembered."
	}
}
