// Package router implements the router process: it connects the caller
// interface, the filter chains and the controllers, and starts and stops them.
package router

import (
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/intake"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// Options is the content of a router's settings file.
type Options struct {
	VM                ident.VMID         `json:"vm"`
	DataCentre        ident.DataCentreID `json:"data_centre"`
	Listen            string             `json:"listen"`             // caller listener, host:port
	InternalListen    string             `json:"internal_listen"`    // listener for other processes of the fleet, host:port
	InternalAdvertise string             `json:"internal_advertise"` // address at which they reach it; default internal_listen
	AdminListen       string             `json:"admin_listen"`
	PlatformURL       string             `json:"platform_url"`
	FleetKey          string             `json:"fleet_key"`
	LedgerShards      int                `json:"ledger_shards"`
	// BootstrapOperatorKeyHash authenticates the first operator as long as the
	// settings contain no operator.
	BootstrapOperatorKeyHash settings.KeyHash `json:"bootstrap_operator_key_hash"`
	LogLevel                 string           `json:"log_level"`
	Peers                    []string         `json:"peers"` // addresses of the internal listeners of other routers
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

// Defaults of Options.
const (
	defaultLogLevel     = "info"
	defaultLedgerShards = 4
)

// DefaultOptions returns the defaults of the optional fields.
func DefaultOptions() Options {
	return Options{LogLevel: defaultLogLevel, LedgerShards: defaultLedgerShards}
}

// Validate implements options.Validator. It also sets InternalAdvertise if the
// file does not.
func (o *Options) Validate() error {
	err := options.Required(
		"vm", string(o.VM),
		"data_centre", string(o.DataCentre),
		"listen", o.Listen,
		"internal_listen", o.InternalListen,
		"admin_listen", o.AdminListen,
		"platform_url", o.PlatformURL,
		"fleet_key", o.FleetKey,
	)
	if err != nil {
		return err
	}
	if o.LedgerShards <= 0 {
		return &options.FieldError{Path: "ledger_shards", Want: "a positive number"}
	}
	if _, err := zerolog.ParseLevel(o.LogLevel); err != nil {
		return &options.FieldError{Path: "log_level", Want: "debug, info, warn or error", Got: o.LogLevel}
	}
	if err := o.Limits().Validate(); err != nil {
		return &options.FieldError{Path: "intake_mb", Want: "limits that fit the VM", Got: err.Error()}
	}
	if o.InternalAdvertise == "" {
		o.InternalAdvertise = o.InternalListen
	}
	return nil
}
