package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Limits of one read.
const (
	maxPageEntries = 1000
	readTimeout    = 10 * time.Second
	pollWait       = 10 * time.Second
)

// read reads a page. Its timeout is the request's wait plus readTimeout.
func read(ctx context.Context, log logservice.Log, request logservice.ReadRequest) (logservice.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+readTimeout)
	defer cancel()
	return log.Read(ctx, request)
}

// RetainedRange returns the first retained offset of a stream and the offset of
// the next append, as the log reports them.
func RetainedRange(ctx context.Context, log logservice.Log, stream logservice.Stream) (first, next ident.Offset, err error) {
	page, err := read(ctx, log, logservice.ReadRequest{Stream: stream, From: logservice.End, Max: 1})
	return page.First, page.Next, err
}

// Rebuild builds a fold from the log alone: from the first entry if that is
// retained, otherwise from the newest complete checkpoint. The fold includes all
// entries up to the end of the stream at the time of the call. Without a complete
// checkpoint it returns ErrNoCheckpoint.
func Rebuild[F Fold[V], V any](ctx context.Context, log logservice.Log, spec Spec[F, V]) (F, error) {
	built, err := rebuild(ctx, log, spec)
	return built.fold, err
}

// rebuilt is a rebuilt fold with the checkpoints that were read for it.
type rebuilt[F any] struct {
	fold        F
	checkpoints *chunkAssembler
	first       ident.Offset
	next        ident.Offset
	era         logservice.Era // of the end of the stream
	markedEra   logservice.Era // highest era whose marker was read
	tail        tail
}

func rebuild[F Fold[V], V any](ctx context.Context, log logservice.Log, spec Spec[F, V]) (rebuilt[F], error) {
	end, err := read(ctx, log, logservice.ReadRequest{Stream: spec.Stream, From: logservice.End, Max: 1})
	first, next := end.First, end.Next
	built := rebuilt[F]{fold: spec.New(), checkpoints: newChunkAssembler(spec.CheckpointKind, false), first: first, next: next, era: end.Era}
	if err != nil {
		return built, err
	}
	if first > 0 {
		built.fold, err = loadCheckpoint(ctx, log, spec, end.Era, first, next)
		if err != nil {
			return built, err
		}
		built.checkpoints.completeOffset = built.fold.Offset()
	}
	built.tail.clear(built.fold.Offset() + 1)
	err = scan(ctx, log, spec.Stream, end.Era, built.fold.Offset()+1, next, func(entry logservice.Entry) {
		if built.fold.Supported() {
			built.fold.Apply(entry.Offset, entry.Data)
			built.tail.add(entry.Offset, entry.Data)
			built.checkpoints.addEntry(entry)
			if batch, err := record.Unmarshal(entry.Data); err == nil {
				built.markedEra = max(built.markedEra, markedEra(batch))
			}
		}
	})
	return built, err
}

// loadCheckpoint loads the newest complete checkpoint among the retained entries.
// It returns ErrNoCheckpoint if trimmed entries follow that checkpoint, because
// the state would then have a gap.
func loadCheckpoint[F Fold[V], V any](ctx context.Context, log logservice.Log, spec Spec[F, V], era logservice.Era, first, next ident.Offset) (F, error) {
	var none F
	assembler := newChunkAssembler(spec.CheckpointKind, true)
	if err := scan(ctx, log, spec.Stream, era, first, next, assembler.addEntry); err != nil {
		return none, err
	}
	if assembler.completeOffset < first-1 {
		return none, errors.Wrapf(ErrNoCheckpoint, "stream %s from offset %d", spec.Stream, first)
	}
	fold, err := spec.Load(assembler.snapshot)
	if err != nil {
		return none, errors.Wrapf(err, "load checkpoint of %s at offset %d", spec.Stream, assembler.completeOffset)
	}
	if fold.Offset() != assembler.completeOffset {
		return none, errors.Errorf("checkpoint of %s is labelled with offset %d, but its state is at offset %d", spec.Stream, assembler.completeOffset, fold.Offset())
	}
	return fold, nil
}

// scan visits the entries from one offset up to, but not including, another. It fails
// if the log is restored meanwhile.
func scan(ctx context.Context, log logservice.Log, stream logservice.Stream, era logservice.Era, from, to ident.Offset, visit func(logservice.Entry)) error {
	for from < to {
		page, err := read(ctx, log, logservice.ReadRequest{Stream: stream, From: from, Max: maxPageEntries})
		if err != nil {
			return err
		}
		if era != logservice.NoEra && page.Era > era {
			return errRestoredAgain
		}
		if len(page.Entries) == 0 {
			return errors.Wrapf(logservice.ErrUnavailable, "stream %s ends at %d, before %d", stream, from, to)
		}
		for _, entry := range page.Entries {
			if entry.Offset != from {
				return errors.Wrapf(logservice.ErrUnavailable, "stream %s has a gap at %d", stream, from)
			}
			visit(entry)
			from++
		}
	}
	return nil
}
