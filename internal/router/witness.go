package router

import (
	"github.com/camphorlever/camphorlever/internal/filter/stream"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settlement"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// witness lets the stream filter keep copies of the runs that it begins.
type witness struct {
	tracker *settlement.Tracker
}

// Track implements stream.Witness.
func (w *witness) Track(c stream.Copy) bool {
	return w.tracker.Track(settlement.Copy(c))
}

// NotStarted implements stream.Witness.
func (w *witness) NotStarted(c stream.Copy) {
	w.tracker.NotStarted(settlement.Copy(c))
}

// Finish implements stream.Witness.
func (w *witness) Finish(c stream.Copy, run ident.RunID, usage wire.Usage) {
	w.tracker.Finish(settlement.Copy(c), run, usage)
}
