// Package ledger implements the deterministic fold over a ledger stream: the
// top-ups, grants, settlements and claims of the teams of one shard. It does no
// I/O and reads no clock, so every process that folds the same records reaches
// the same state.
package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Record kinds of a ledger stream. The numbers are part of the stored format.
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

// StreamOf returns the name of a shard's ledger stream.
func StreamOf(shard int) logservice.Stream {
	return logservice.Stream("ledger/" + strconv.Itoa(shard))
}

// ShardOf returns the shard of a team in a fleet with the given number of
// shards.
func ShardOf(team ident.TeamID, shards int) int {
	return int(xxhash.Sum64String(string(team)) % uint64(shards))
}

// TopUp adds prepaid tokens to a team's budget. It is idempotent: a second
// record with the same team and ID has no effect while the fold remembers the
// ID, see TopUpWindow.
type TopUp struct {
	Team   ident.TeamID     `msgpack:"t"`
	ID     string           `msgpack:"i"`
	Tokens int64            `msgpack:"n"`
	Author ident.OperatorID `msgpack:"a"`
}

// Draw moves tokens of a team's free budget into the grant that the writer holds
// for the team. The fold grants min(Requested, free), or refuses if that is less
// than Minimum.
type Draw struct {
	Team      ident.TeamID `msgpack:"t"`
	Requested int64        `msgpack:"a"`
	Minimum   int64        `msgpack:"l"`
}

// Return moves unused tokens of the writer's grant back to the free budget.
type Return struct {
	Team   ident.TeamID `msgpack:"t"`
	Tokens int64        `msgpack:"n"`
}

// Settle bills one finished run. A run is billed once. Of several runs with the
// same key only the first that settles with tokens is billed.
type Settle struct {
	Team    ident.TeamID      `msgpack:"t"`
	Account ident.AccountID   `msgpack:"a"`
	Holder  ident.Incarnation `msgpack:"h"` // holder of the grant that is charged
	Run     ident.RunID       `msgpack:"r"`
	Key     ident.Key         `msgpack:"k"`
	Tokens  int64             `msgpack:"n"` // prompt and output tokens
	// LowestUnsettled is set only by the gate itself: each of its runs for
	// teams of this shard with a lower number is settled by this batch or an
	// earlier one, or that number was never used for a run of the shard. The
	// fold then stores all lower numbers as one range. Zero means not set.
	LowestUnsettled uint64 `msgpack:"f,omitempty"`
	// Router is the router that began the run. A lender that reclaims the loan
	// of a closed borrower derives from it how many tokens the borrower's runs
	// used. Zero means unknown: any router may have begun the run.
	Router ident.Incarnation `msgpack:"b,omitempty"`
}

// Claim assigns a key that must run at most once to one gate. The first claim in
// log order wins.
type Claim struct {
	Team ident.TeamID      `msgpack:"t"`
	Key  ident.Key         `msgpack:"k"`
	Gate ident.Incarnation `msgpack:"g"`
}

// WithdrawClaim deletes a claim. Only the gate that the claim names may write it,
// after it has sealed the key without having started a run of it.
type WithdrawClaim struct {
	Team ident.TeamID `msgpack:"t"`
	Key  ident.Key    `msgpack:"k"`
}

// Close frees the outstanding tokens of every grant of a holder. It may be
// written only after the fleet stream proves that no further run can start
// under these grants and that all settlers of earlier runs have settled. Such a
// proof stays valid, so a delayed Close is harmless.
//
// Through, if not zero, closes every incarnation from Holder to Through: each
// number was closed before, is covered by the same proof, or was never used as
// an incarnation. This joins the ranges that the fold stores.
type Close struct {
	Holder  ident.Incarnation `msgpack:"h"`
	Through ident.Incarnation `msgpack:"t,omitempty"`
}

// RaiseLevel raises the format level of the stream. Programs that do not support
// the new level stop folding there.
type RaiseLevel struct {
	Level uint16 `msgpack:"l"`
}

// Outcome is the result of one record in the fold.
type Outcome uint8

// Outcomes of a record.
const (
	Accepted       Outcome = iota
	Repeated               // the batch, the top-up or the run was applied before
	Exhausted              // the free budget does not cover Draw.Minimum
	AlreadyClaimed         // an earlier claim of the key exists
	AlreadyBilled          // another run of the key was billed
	RefusedLevel           // the record's level is above the stream's
	RefusedClosed          // the writer or the grant is closed
	RefusedInvalid         // the record is invalid, for example has a negative amount
	RefusedGap             // the writer's sequence has a gap
)

// Verdict is the fold's reply to one record of a batch.
type Verdict struct {
	Outcome Outcome
	Tokens  int64             // granted by a Draw, billed by a Settle, moved by a TopUp or Return
	Gate    ident.Incarnation // gate that holds the claim
	Offset  ident.Offset      // of the record that decided the outcome
}
