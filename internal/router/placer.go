package router

import (
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/place"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/placement"
)

// placer implements place.Placer, key.Owners and queue.ConcurrencyLimit with the
// placement.
type placer struct {
	directory *directory
	picker    *placement.Picker
}

// Pick implements place.Placer. If the request has owner gates, it picks only
// among them.
func (p *placer) Pick(r *filter.Request) (place.Choice, bool) {
	p.directory.refresh()
	query := placement.Query{Requirements: requirements(r), Blocks: r.BlockHashes, Exclude: r.TriedGates}
	for _, owner := range r.Owners {
		query.Allowed = append(query.Allowed, owner.Gate)
	}
	run, ok := p.picker.Pick(&query)
	if !ok {
		return nil, false
	}
	return &choice{run: run, picker: p.picker}, true
}

// Owners implements key.Owners. The owner gate with the highest rank is first.
func (p *placer) Owners(r *filter.Request) []filter.Target {
	p.directory.refresh()
	var owners []filter.Target
	for _, s := range p.picker.Owners(requirements(r), r.Key) {
		owners = append(owners, serverTarget(s))
	}
	return owners
}

// ConcurrencyLimit implements queue.ConcurrencyLimit.
func (p *placer) ConcurrencyLimit(r *filter.Request) int {
	return p.picker.ConcurrencyLimit(requirements(r))
}

// choice implements place.Choice: a run that the placement has assigned to a
// server.
type choice struct {
	run    *placement.Run
	picker *placement.Picker
}

func (c *choice) Target() filter.Target { return serverTarget(c.run.Server) }
func (c *choice) FirstToken()           { c.run.FirstToken() }
func (c *choice) Done()                 { c.run.Done() }
func (c *choice) Failed()               { c.picker.MarkFailed(c.gate()) }

func (c *choice) gate() ident.Incarnation { return c.run.Server.Gate }
