package side

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/options"
)

// Options is the contents of a side process's settings file.
type Options struct {
	VM                ident.VMID         `json:"vm"`
	DataCentre        ident.DataCentreID `json:"data_centre"`
	Server            ident.ServerID     `json:"server"`
	InternalListen    string             `json:"internal_listen"`
	InternalAdvertise string             `json:"internal_advertise"`
	PlatformURL       string             `json:"platform_url"`
	FleetKey          string             `json:"fleet_key"`
	LedgerShards      int                `json:"ledger_shards"`
	EngineURL         string             `json:"engine_url"`
	Service           bool               `json:"service"`       // the backend server is a plain HTTP service, not an inference engine
	ChecksFences      bool               `json:"checks_fences"` // the engine refuses orders with an old fencing token
	LogLevel          string             `json:"log_level"`
	DebugListen       string             `json:"debug_listen"` // address that serves counters and health; empty disables it
	Peers             []string           `json:"peers"`        // internal listeners of routers, used to start while the log service is unavailable
}

// DefaultOptions returns the values of fields that the settings file omits.
func DefaultOptions() Options {
	return Options{LedgerShards: 4, LogLevel: "info"}
}

// Validate implements options.Validator.
func (o *Options) Validate() error {
	if o.LedgerShards < 1 {
		return &options.FieldError{Path: "ledger_shards", Want: "a number of at least 1"}
	}
	return options.Required(
		"vm", string(o.VM),
		"data_centre", string(o.DataCentre),
		"server", string(o.Server),
		"internal_listen", o.InternalListen,
		"platform_url", o.PlatformURL,
		"fleet_key", o.FleetKey,
		"engine_url", o.EngineURL,
	)
}
