// Package placement chooses the backend server of a run. It weighs the estimated
// content of a server's prefix cache against the estimated load and speed of the
// server. Reports of the servers arrive late, so the estimates add what this
// router has sent there since.
package placement

import (
	"slices"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// RoleDecode is the role of servers that only decode and take no new prompts.
const RoleDecode = "decode"

// Server describes one incarnation of a side process and its backend server. It
// must not be changed once passed to a Picker.
type Server struct {
	ID       ident.ServerID
	Gate     ident.Incarnation
	Address  string
	Models   []ident.ModelID
	Adapters []ident.AdapterID
	Services []ident.ServiceID
	Role     string
	Slots    int
	// Leaving servers take no new runs but may still hold answers of earlier
	// ones.
	Leaving bool
}

// Requirements are what a request needs of a server. If Service is set, Serves
// ignores Model and Adapter.
type Requirements struct {
	Model   ident.ModelID
	Adapter ident.AdapterID
	Service ident.ServiceID
}

// Serves reports whether the server is configured to meet the requirements.
func (s *Server) Serves(required Requirements) bool {
	if required.Service != "" {
		return slices.Contains(s.Services, required.Service)
	}
	if s.Role == RoleDecode || !slices.Contains(s.Models, required.Model) {
		return false
	}
	return required.Adapter == "" || slices.Contains(s.Adapters, required.Adapter)
}

// Query describes a request that needs a server.
type Query struct {
	Requirements
	Blocks  []uint64            // hashes of the prompt's blocks, see package prefix
	Exclude []ident.Incarnation // already tried
	Allowed []ident.Incarnation // if not empty, the only gates that may be chosen
}

// Report is the state that a server reports about itself.
type Report struct {
	Leaving bool
	Running int
	Queued  int
	Slots   int
	Models  []ident.ModelID // loaded at the moment; empty if not known
	// Changes are those of the server's prefix cache after the mark Since. They
	// are ignored if the router's mark is no longer Since.
	Since   wire.CacheMark
	Changes wire.CacheChanges
}

// Config configures a Picker. The zero value of a field means its default.
type Config struct {
	Policy Policy
	// Seed seeds the random choices; zero means a random seed.
	Seed uint64
	// Subset is the number of servers that a router uses per Requirements.
	Subset int
	// Router is this router's incarnation. It seeds the choice of the subset, so
	// that routers use different ones.
	Router ident.Incarnation
	// ReportLag is the age of the load in a report on arrival.
	ReportLag time.Duration
	// CacheLag is the maximum age of the cache events in a report on arrival.
	CacheLag time.Duration
	// CacheBlocks is the number of blocks tracked per server.
	CacheBlocks int
	// Now replaces the clock in simulations.
	Now func() time.Time
}

// Defaults of a Config and of Server.Slots.
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
