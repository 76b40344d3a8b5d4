package control

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/stream"
)

// Sizes of the streams that are followed.
const (
	settlementsFollowed = 100_000
	entriesFollowed     = 10_000
)

// measureFollowing measures what one entry and one record cost a process that
// follows a stream: reading a page from memory, decoding, folding and looking
// for checkpoints.
func measureFollowing(ctx context.Context, emit measure.Emit) error {
	for _, perBatch := range []int{1, 8, 64} {
		log, bytes, err := settlements(ctx, perBatch)
		if err != nil {
			return err
		}
		took, err := timeRebuild(ctx, log, node.LedgerSpec(0, 1))
		if err != nil {
			return err
		}
		suffix := fmt.Sprintf(".batch_%d", perBatch)
		emit("capacity.follow_ns_per_record"+suffix, float64(took)/settlementsFollowed, "ns")
		emit("capacity.bytes_per_settlement"+suffix, float64(bytes)/settlementsFollowed, "bytes")
	}
	if err := followRegistrations(ctx, emit); err != nil {
		return err
	}
	return followChanges(ctx, emit)
}

func timeRebuild[F stream.Fold[V], V any](ctx context.Context, log logservice.Log, spec stream.Spec[F, V]) (time.Duration, error) {
	began := time.Now()
	_, err := stream.Rebuild(ctx, log, spec)
	return time.Since(began), err
}

// writer appends batches of one writer to a stream of a log in memory.
type writer struct {
	log      *memlog.Log
	stream   logservice.Stream
	identity record.Identity
	bytes    int
}

func (w *writer) append(ctx context.Context, kind record.Kind, bodies ...any) error {
	w.identity.Sequence++
	batch := record.Batch{Identity: w.identity}
	for _, body := range bodies {
		r, err := record.New(kind, body)
		if err != nil {
			return err
		}
		batch.Records = append(batch.Records, r)
	}
	data, err := record.Marshal(batch)
	if err != nil {
		return err
	}
	w.bytes += len(data)
	_, err = w.log.Append(ctx, w.stream, data)
	return err
}

func settlements(ctx context.Context, perBatch int) (*memlog.Log, int, error) {
	w := &writer{log: memlog.New(), stream: ledger.StreamOf(0), identity: record.Identity{Writer: 900}}
	if err := w.append(ctx, ledger.KindTopUp, ledger.TopUp{Team: "team", ID: "1", Tokens: topUpTokens}); err != nil {
		return nil, 0, err
	}
	if err := w.append(ctx, ledger.KindDraw, ledger.Draw{Team: "team", Requested: topUpTokens}); err != nil {
		return nil, 0, err
	}
	w.bytes = 0
	for run := uint64(0); run < settlementsFollowed; {
		var bodies []any
		for range perBatch {
			run++
			bodies = append(bodies, ledger.Settle{
				Team: "team", Account: "account", Holder: 900, Run: ident.RunID{Gate: 901, Number: run},
				Key: ident.HashKey("team", fmt.Sprint(run)), Tokens: 700, Router: 900,
			})
		}
		if err := w.append(ctx, ledger.KindSettle, bodies...); err != nil {
			return nil, 0, err
		}
	}
	return w.log, w.bytes, nil
}

func followRegistrations(ctx context.Context, emit measure.Emit) error {
	w := &writer{log: memlog.New(), stream: fleet.Stream}
	for i := range entriesFollowed {
		err := w.append(ctx, fleet.KindRegister, fleet.Register{
			Nonce: uuid.NewSHA1(uuid.Nil, fmt.Append(nil, i)), Role: fleet.RoleSide, VM: "vm-1", DataCentre: "dc-1",
			Address: fmt.Sprintf("10.0.0.%d:7000", i), Server: "server", MaxLevel: 1, LedgerShards: 1, Seen: ident.Offset(i),
		})
		if err != nil {
			return err
		}
	}
	took, err := timeRebuild(ctx, w.log, node.FleetSpec())
	emit("capacity.follow_ns_per_registration", float64(took)/entriesFollowed, "ns")
	emit("capacity.bytes_per_registration", float64(w.bytes)/entriesFollowed, "bytes")
	return err
}

func followChanges(ctx context.Context, emit measure.Emit) error {
	w := &writer{log: memlog.New(), stream: settings.Stream}
	base := ident.NoOffset
	for i := range entriesFollowed {
		err := w.append(ctx, settings.KindChange, settings.Change{
			ID: uuid.NewSHA1(uuid.Nil, fmt.Append(nil, i)).String(), Path: "teams/team", Base: base, Author: settings.Bootstrap,
			Value: []byte(`{"name":"Team","models":["reader"],"priority":4,"weight":2,"caution":0.5,"max_output_tokens":2000}`),
		})
		if err != nil {
			return err
		}
		base = ident.Offset(i)
	}
	took, err := timeRebuild(ctx, w.log, node.SettingsSpec())
	emit("capacity.follow_ns_per_settings_change", float64(took)/entriesFollowed, "ns")
	emit("capacity.bytes_per_settings_change", float64(w.bytes)/entriesFollowed, "bytes")
	return err
}
