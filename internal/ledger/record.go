// Package ledger is the deterministic fold over a ledger stream: top-ups,
// grants, settlements and claims of the teams of one shard. It does no I/O
// and reads no clock; every process that folds the same records holds the
// same state.
package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Kinds of the records of a ledger stream.
const (
	KindTopUp         record.Kind = 1
	KindDraw          record.Kind = 2
	KindReturn        record.Kind = 3
	KindSettle        record.Kind = 4
	KindClaim         record.Kind = 5
	KindWithdrawClaim record.Kind = 6
	KindClose         record.Kind = 7
	KindCheckpoint    record.Kind = 8
	KindRaiseLevel    record.Kind = 9
)

// StreamOf returns the name of the stream of a shard.
func StreamOf(shard int) logservice.Stream {
	return logservice.Stream("ledger/" + strconv.Itoa(shard))
}

// ShardOf returns the shard of a team for a deployment with the given number
// of shards.
func ShardOf(team ident.TeamID, shards int) int {
	return int(xxhash.Sum64String(string(team)) % uint64(shards))
}

// TopUp adds prepaid tokens to a team's budget. It is idempotent by its ID:
// a second record with the same team and ID has no effect.
type TopUp struct {
	Team   ident.TeamID     `msgpack:"t"`
	ID     string           `msgpack:"i"`
	Tokens int64            `msgpack:"n"`
	Author ident.OperatorID `msgpack:"a"`
}

// Draw asks for tokens of a team's free budget. They are added to the grant
// that the writer holds for the team. The fold gives min(Asked, free), or
// refuses when that is less than Least.
type Draw struct {
	Team      ident.TeamID `msgpack:"t"`
	Requested int64        `msgpack:"a"`
	Minimum   int64        `msgpack:"l"`
}

// Return gives unused tokens of the writer's grant back to the free budget.
type Return struct {
	Team   ident.TeamID `msgpack:"t"`
	Tokens int64        `msgpack:"n"`
}

// Settle bills one finished run. A run is billed once, and of two runs of one
// key only the first that is settled.
type Settle struct {
	Team    ident.TeamID      `msgpack:"t"`
	Account ident.AccountID   `msgpack:"a"`
	Holder  ident.Incarnation `msgpack:"h"` // holder of the grant that paid
	Run     ident.RunID       `msgpack:"r"`
	Key     ident.Key         `msgpack:"k"`
	Tokens  int64             `msgpack:"n"` // prompt and output tokens
	// LowestUnsettled is set by the gate itself: every run of the shard's teams that
	// it numbered below LowestUnsettled is settled by this batch or an earlier one, or
	// never was a run. The fold then remembers them as one range. Zero says
	// nothing.
	LowestUnsettled uint64 `msgpack:"f,omitempty"`
	// Router began the run. A lender that takes back the loan of a closed
	// borrower learns from it what the borrower's runs used. Zero means
	// unknown: then it may have been any router.
	Router ident.Incarnation `msgpack:"b,omitempty"`
}

// Claim reserves a key that must not run twice for one gate. The first claim
// in log order wins.
type Claim struct {
	Team ident.TeamID      `msgpack:"t"`
	Key  ident.Key         `msgpack:"k"`
	Gate ident.Incarnation `msgpack:"g"`
}

// WithdrawClaim withdraws a claim. Only the gate that the claim names may write it,
// after it has sealed the key without having started it.
type WithdrawClaim struct {
	Team ident.TeamID `msgpack:"t"`
	Key  ident.Key    `msgpack:"k"`
}

// Close frees what is left of every grant of a holder. It may be written only
// once the fleet stream proves that no further run can start under them and
// that all witnesses of earlier runs have settled; that proof, once had,
// stays true, so a delayed Close is harmless.
//
// Through, if not zero, extends the statement to every incarnation from Holder
// to Through: each was closed before, is closed by the same proof, or never
// was an incarnation. It joins the ranges that the fold remembers.
type Close struct {
	Holder  ident.Incarnation `msgpack:"h"`
	Through ident.Incarnation `msgpack:"t,omitempty"`
}

// RaiseLevel raises the format level of the stream.
type RaiseLevel struct {
	Level uint16 `msgpack:"l"`
}

// Outcome is the fold's verdict on one record.
type Outcome uint8

// Verdicts of the fold.
const (
	Accepted       Outcome = iota
	Repeated               // the batch, the top-up or the run was applied before
	Exhausted              // the free budget does not cover Draw.Least
	AlreadyClaimed         // another claim of the key came first
	AlreadyBilled          // another run of the key was billed
	RefusedLevel           // the record's level is above the stream's
	RefusedClosed          // the writer or the grant is closed
	RefusedInvalid         // the record breaks a rule, for example a negative amount
	RefusedGap             // the writer's sequence has a gap
)

// Verdict is the outcome of one record of a batch.
type Verdict struct {
	Outcome Outcome
	Tokens  int64             // granted by a Draw, billed by a Settle
	Gate    ident.Incarnation // winner of a claim
	Offset  ident.Offset      // where the deciding record stands
}
