package router

import (
	"sync"

	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/stream"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settlement"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// witness lets the stream filter keep copies of the runs that it begins, and
// ends held reservations once the ledger shows what became of their runs.
type witness struct {
	tracker *settlement.Tracker

	mu   sync.Mutex // guards held; taken under the tracker's lock, never around it
	held map[settlement.Copy][]filter.Reservation
}

func newWitness(config settlement.Config) *witness {
	w := &witness{held: map[settlement.Copy][]filter.Reservation{}}
	config.Resolved = w.resolved
	w.tracker = settlement.New(config)
	return w
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

// Held implements stream.Witness.
func (w *witness) Held(c stream.Copy, r filter.Reservation) {
	r.Hold()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[settlement.Copy(c)] = append(w.held[settlement.Copy(c)], r)
}

// resolved ends the reservations of a copy whose run is billed. How much it
// used is not known here: all of it counts as spent in this router's hands,
// and the ledger frees the rest with the grant.
func (w *witness) resolved(c settlement.Copy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.held[c] {
		r.Settle(c.Bound)
	}
	delete(w.held, c)
}
