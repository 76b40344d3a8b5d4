// Package placement chooses the backend server of a run: it weighs what a
// server's prefix cache probably holds against how loaded and how slow the
// server probably is. What it knows of others is late; what this router has
// done itself since is added to it.
package placement

import (
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// RoleDecode is the role of servers that take no new prompts.
const RoleDecode = "decode"

// Server describes one life of a side process and its backend server. It is
// not changed once given to a Picker.
type Server struct {
	ID       ident.ServerID
	Gate     ident.Incarnation
	Address  string
	Models   []ident.ModelID
	Adapters []ident.AdapterID
	Services []ident.ServiceID
	Role     string
	Slots    int
	// Leaving servers take no new runs but still have answers.
	Leaving bool
}

// Requirements is what a request needs of a server.
type Requirements struct {
	Model   ident.ModelID
	Adapter ident.AdapterID
	Service ident.ServiceID
}

// Serves reports whether the server is set up for what is wanted.
func (s *Server) Serves(w Requirements) bool {
	if w.Service != "" {
		return slices.Contains(s.Services, w.Service)
	}
	if s.Role == RoleDecode || !slices.Contains(s.Models, w.Model) {
		return false
	}
	return w.Adapter == "" || slices.Contains(s.Adapters, w.Adapter)
}

// Query asks for a server.
type Query struct {
	Requirements
	Blocks  []uint64            // of the prompt, see package prefix
	Exclude []ident.Incarnation // tried before
	Allowed []ident.Incarnation // the only gates allowed, if any
}

// Report is what a server told of itself.
type Report struct {
	Leaving bool
	Running int
	Queued  int
	Slots   int
	Models  []ident.ModelID // loaded now; empty if not known
	// Changes are those of the server's prefix cache after Since. They are
	// left out if the router's mark is not Since any more.
	Since   wire.CacheMark
	Changes wire.CacheChanges
}

// Config sets a Picker up. The zero value of a field means its default.
type Config struct {
	Policy Policy
	// Seed of the random choices; zero draws one.
	Seed uint64
	// Subset is how many servers per Want a router deals with.
	Subset int
	// Router makes the subsets of routers differ.
	Router ident.Incarnation
	// ReportLag is how old the load in a report is when it arrives.
	ReportLag time.Duration
	// CacheLag is how old the cache events in a report are at most.
	CacheLag time.Duration
	// CacheBlocks is the number of blocks remembered per server.
	CacheBlocks int
	// Now replaces the clock in simulations.
	Now func() time.Time
}

// Defaults of a Config.
const (
	defaultSubset      = 32
	defaultReportLag   = 500 * time.Millisecond
	defaultCacheLag    = 2 * time.Second
	defaultCacheBlocks = 4096
	defaultSlots       = 8
)

func (c Config) withDefaults() Config {
	if c.Policy == nil {
		c.Policy = LeastLatency
	}
	if c.Subset == 0 {
		c.Subset = defaultSubset
	}
	if c.ReportLag == 0 {
		c.ReportLag = defaultReportLag
	}
	if c.CacheLag == 0 {
		c.CacheLag = defaultCacheLag
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
