package router

import (
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/filter/place"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/placement"
)

// placer lets the filters use the placement.
type placer struct {
	directory *directory
	picker    *placement.Picker
}

// Pick implements place.Placer.
func (p *placer) Pick(r *filter.Request) (place.Choice, bool) {
	p.directory.refresh()
	query := placement.Query{Requirements: want(r), Blocks: r.BlockHashes, Exclude: r.TriedGates}
	for _, home := range r.Owners {
		query.Allowed = append(query.Allowed, home.Gate)
	}
	run, ok := p.picker.Pick(&query)
	if !ok {
		return nil, false
	}
	return &choice{run: run, picker: p.picker}, true
}

// Owners implements key.Owners.
func (p *placer) Owners(r *filter.Request) []filter.Target {
	p.directory.refresh()
	var homes []filter.Target
	for _, s := range p.picker.Owners(want(r), r.Key) {
		homes = append(homes, target(s))
	}
	return homes
}

// ConcurrencyLimit implements queue.ConcurrencyLimit.
func (p *placer) ConcurrencyLimit(r *filter.Request) int {
	return p.picker.ConcurrencyLimit(want(r))
}

// choice is a placed run.
type choice struct {
	run    *placement.Run
	picker *placement.Picker
}

func (c *choice) Target() filter.Target { return target(c.run.Server) }
func (c *choice) FirstToken()           { c.run.FirstToken() }
func (c *choice) Done()                 { c.run.Done() }
func (c *choice) Failed()               { c.picker.MarkFailed(c.gate()) }

func (c *choice) gate() ident.Incarnation { return c.run.Server.Gate }
