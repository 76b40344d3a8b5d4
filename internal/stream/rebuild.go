package stream

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Limits of one read.
const (
	pageEntries = 1000
	readTimeout = 10 * time.Second
	pollWait    = 10 * time.Second
)

// read reads a page, bounded by the wait plus readTimeout.
func read(ctx context.Context, log logservice.Log, request logservice.ReadRequest) (logservice.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+readTimeout)
	defer cancel()
	return log.Read(ctx, request)
}

// RetainedRange returns the retained range of a stream: its first offset and the one
// that the next append will get.
func RetainedRange(ctx context.Context, log logservice.Log, stream logservice.Stream) (first, next ident.Offset, err error) {
	page, err := read(ctx, log, logservice.ReadRequest{Stream: stream, From: math.MaxInt64, Max: 1})
	return page.First, page.Next, err
}

// Rebuild makes a fold from the log alone: from the first entry if it is
// retained, otherwise from the newest complete checkpoint. The fold covers
// everything up to the end of the stream that the log named at the start.
func Rebuild[F Fold[V], V any](ctx context.Context, log logservice.Log, spec Spec[F, V]) (F, error) {
	built, err := rebuild(ctx, log, spec)
	return built.fold, err
}

// generation is a rebuilt fold and the checkpoints seen on the way.
type generation[F any] struct {
	fold   F
	pieces *assembly
	first  ident.Offset
	next   ident.Offset
}

func rebuild[F Fold[V], V any](ctx context.Context, log logservice.Log, spec Spec[F, V]) (generation[F], error) {
	first, next, err := RetainedRange(ctx, log, spec.Stream)
	built := generation[F]{fold: spec.New(), pieces: newAssembly(spec.CheckpointKind, false), first: first, next: next}
	if err != nil {
		return built, err
	}
	if first > 0 {
		built.fold, err = fromCheckpoint(ctx, log, spec, first, next)
		if err != nil {
			return built, err
		}
		built.pieces.covers = built.fold.Offset()
	}
	err = scan(ctx, log, spec.Stream, built.fold.Offset()+1, next, func(entry logservice.Entry) {
		if built.fold.Supported() {
			built.fold.Apply(entry.Offset, entry.Data)
			built.pieces.entry(entry)
		}
	})
	return built, err
}

// fromCheckpoint loads the newest complete checkpoint that the retained
// entries hold. It must leave no entry between it and the first retained one.
func fromCheckpoint[F Fold[V], V any](ctx context.Context, log logservice.Log, spec Spec[F, V], first, next ident.Offset) (F, error) {
	var none F
	pieces := newAssembly(spec.CheckpointKind, true)
	if err := scan(ctx, log, spec.Stream, first, next, pieces.entry); err != nil {
		return none, err
	}
	if pieces.covers < first-1 {
		return none, errors.Wrapf(ErrNoCheckpoint, "stream %s from offset %d", spec.Stream, first)
	}
	fold, err := spec.Load(pieces.data)
	if err != nil {
		return none, errors.Wrapf(err, "load checkpoint of %s at offset %d", spec.Stream, pieces.covers)
	}
	if fold.Offset() != pieces.covers {
		return none, errors.Errorf("checkpoint of %s names offset %d and holds %d", spec.Stream, pieces.covers, fold.Offset())
	}
	return fold, nil
}

// scan visits the entries from one offset up to another.
func scan(ctx context.Context, log logservice.Log, stream logservice.Stream, from, to ident.Offset, visit func(logservice.Entry)) error {
	for from < to {
		page, err := read(ctx, log, logservice.ReadRequest{Stream: stream, From: from, Max: pageEntries})
		if err != nil {
			return err
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
