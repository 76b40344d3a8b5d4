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
	// maxKeyConflicts bounds the retries of adding a key after conflicts with
	// concurrent changes of the team.
	maxKeyConflicts = 5
)

// keyBody is the request body for a new key.
type keyBody struct {
	Team    ident.TeamID    `json:"team"`
	Account ident.AccountID `json:"account"`
}

// keyDocument is the response with a new key. Only the hash of its secret is stored.
type keyDocument struct {
	keyBody
	Secret  string       `json:"secret"`
	Version ident.Offset `json:"version"`
}

// createKey adds a key to a client account and returns its secret, which cannot be
// read again later.
func (a *API) createKey(c *call) (any, *refusal.Refusal) {
	var body keyBody
	if refused := c.decode(&body); refused != nil {
		return nil, refused
	}
	secret := newSecret()
	for conflicts := 0; ; conflicts++ {
		version, refused := a.addKey(c, body, settings.HashSecret(secret))
		if refused == nil {
			return keyDocument{keyBody: body, Secret: secret, Version: version}, nil
		}
		if refused.Code != refusal.ConflictingVersion || conflicts == maxKeyConflicts {
			return nil, refused
		}
	}
}

func newSecret() string {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // never fails
	return "ck_" + hex.EncodeToString(raw)
}

// addKey adds the hash of a key to a client account and waits for the change to be
// applied.
func (a *API) addKey(c *call, body keyBody, hash settings.KeyHash) (ident.Offset, *refusal.Refusal) {
	path := settings.Path("teams/" + body.Team)
	current := a.subtree(path)
	if len(current.Value) == 0 {
		return 0, refusal.New(refusal.NotFound, refusal.NotRun, "There is no team "+string(body.Team)+".")
	}
	team := settings.DefaultTeam()
	if err := json.Unmarshal(current.Value, &team); err != nil {
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
		Base:   current.Version,
		Author: c.operator,
		Value:  value,
	})
	if refused != nil {
		return 0, refused
	}
	a.awaitApplied(c.Context(), verdict.Version)
	return verdict.Version, nil
}

// Outcomes of a key look-up.
const (
	outcomeKeyNotKnown = "not_known"
	outcomeRunning     = "running"
	outcomeRan         = "ran"
	outcomeNotRun      = "not_run"
	outcomeUnknown     = "unknown"
)

// claimDocument is the claim of an idempotency key whose request must not run twice.
type claimDocument struct {
	Gate   ident.Incarnation `json:"gate"`
	Server ident.ServerID    `json:"server"` // empty if the gate is no longer a member
	Over   bool              `json:"gate_over"`
	Offset ident.Offset      `json:"offset"`
}

// gateDocument is the state of a key at one gate.
type gateDocument struct {
	Gate   ident.Incarnation `json:"gate"`
	Server ident.ServerID    `json:"server"`
	State  string            `json:"state"`
	Run    string            `json:"run"`
}

// lookUpDocument is the response to a look-up of a key.
type lookUpDocument struct {
	Key     string         `json:"key"`
	Outcome string         `json:"outcome"`
	Advice  string         `json:"advice"`
	Claim   *claimDocument `json:"claim"`
	Gates   []gateDocument `json:"gates"`
	Silent  []string       `json:"silent"` // backend servers whose side process did not answer
}

// lookUpKey returns the outcome of the request with an idempotency key.
func (a *API) lookUpKey(c *call) (any, *refusal.Refusal) {
	team, refused := c.team()
	if refused != nil {
		return nil, refused
	}
	key := ident.HashKey(team, c.params.ByName("key"))
	document := lookUpDocument{Key: key.String(), Gates: []gateDocument{}, Silent: []string{}}
	document.Claim = a.claimDocumentOf(team, key)
	a.queryGates(c.Context(), key, &document)
	document.setOutcome()
	return document, nil
}

func (a *API) claimDocumentOf(team ident.TeamID, key ident.Key) *claimDocument {
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

// queryGates asks the gate of every live side process for the state of a key.
func (a *API) queryGates(ctx context.Context, key ident.Key, document *lookUpDocument) {
	sides := a.config.Fleet.Members().Sides
	replies := make([]*wire.LookupReply, len(sides))
	queries := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for i, side := range sides {
		queries.Go(func() { replies[i] = a.queryGate(ctx, side, key) })
	}
	queries.Wait()
	for i, side := range sides {
		switch {
		case replies[i] == nil:
			document.Silent = append(document.Silent, string(side.Registration.Server))
		case replies[i].State != wire.KeyUnknown:
			document.Gates = append(document.Gates, gateDocument{
				Gate:   side.Incarnation,
				Server: side.Registration.Server,
				State:  outcomeOf(replies[i].State),
				Run:    replies[i].Run.String(),
			})
		}
	}
}

func (a *API) queryGate(ctx context.Context, side fleet.Member, key ident.Key) *wire.LookupReply {
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

func outcomeOf(state wire.KeyState) string {
	switch state {
	case wire.KeyRunning:
		return outcomeRunning
	case wire.KeyDone:
		return outcomeRan
	case wire.KeySealed:
		return outcomeNotRun
	default:
		return outcomeKeyNotKnown
	}
}

// setOutcome derives Outcome and Advice from the claim and the replies of the gates.
func (d *lookUpDocument) setOutcome() {
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
		d.Outcome = outcomeNotRun
		d.Advice = "The key was claimed and has not run. Repeat the request with the same key."
	default:
		d.Outcome = outcomeKeyNotKnown
		d.Advice = "No live side process has run the key. A run of a process that has ended since is not remembered."
	}
}
