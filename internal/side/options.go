package side

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/intake"
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
	// Limits of the VM; zero if unknown.
	MemoryMB        float64 `json:"memory_mb"`
	FileDescriptors int     `json:"file_descriptors"`
	// IntakeMB is the memory for what clients send; zero for a share of MemoryMB.
	IntakeMB float64 `json:"intake_mb"`
}

// Limits returns the limits from which the budgets for clients follow.
func (o *Options) Limits() intake.Limits {
	return intake.FromSettings(o.MemoryMB, o.FileDescriptors, o.IntakeMB)
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
	if err := o.Limits().Validate(); err != nil {
		return &options.FieldError{Path: "intake_mb", Want: "limits that fit the VM", Got: err.Error()}
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
