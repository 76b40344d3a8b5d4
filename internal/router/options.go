// Package router is the router process: it wires the callers' interface, the
// filter chain and the controllers together, and starts and stops them.
package router

import (
	"github.com/rs/zerolog"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// Options are the settings file of a router.
type Options struct {
	VM                ident.VMID         `json:"vm"`
	DataCentre        ident.DataCentreID `json:"data_centre"`
	Listen            string             `json:"listen"`             // callers, host:port
	InternalListen    string             `json:"internal_listen"`    // other processes of the fleet
	InternalAdvertise string             `json:"internal_advertise"` // as they reach it; default internal_listen
	AdminListen       string             `json:"admin_listen"`
	PlatformURL       string             `json:"platform_url"`
	FleetKey          string             `json:"fleet_key"`
	LedgerShards      int                `json:"ledger_shards"`
	// BootstrapOperatorKeyHash admits the first operator while the settings
	// name none.
	BootstrapOperatorKeyHash settings.KeyHash `json:"bootstrap_operator_key_hash"`
	LogLevel                 string           `json:"log_level"`
	Peers                    []string         `json:"peers"` // internal listeners of routers
}

// Defaults of Options.
const (
	defaultLogLevel     = "info"
	defaultLedgerShards = 4
)

// DefaultOptions returns the values of the fields that a file may leave out.
func DefaultOptions() Options {
	return Options{LogLevel: defaultLogLevel, LedgerShards: defaultLedgerShards}
}

// Validate implements options.Validator.
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
	if o.InternalAdvertise == "" {
		o.InternalAdvertise = o.InternalListen
	}
	return nil
}
