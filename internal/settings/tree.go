// Package settings implements the fleet's configuration: a tree of subtrees, each
// of which is replaced by compare-and-set in the order of the settings stream.
package settings

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Stream is the name of the settings stream.
const Stream logservice.Stream = "settings"

// Record kinds of the settings stream. The numbers are part of the stored format.
const (
	KindChange     record.Kind = 1
	KindCheckpoint record.Kind = 2
	KindRaiseLevel record.Kind = 3
)

// Path names a subtree: "fleet", "teams/<id>", "models/<id>",
// "services/<id>", "servers/<id>" or "operators/<id>".
type Path string

// Change replaces one subtree. The fold accepts it only if the subtree's version
// still equals Base and Author may change the subtree.
type Change struct {
	ID     string           `msgpack:"i"` // chosen by the operator's client; makes retries idempotent
	Path   Path             `msgpack:"p"`
	Base   ident.Offset     `msgpack:"b"` // version the change was made against; NoOffset if the subtree never existed
	Author ident.OperatorID `msgpack:"a"`
	Value  []byte           `msgpack:"v"` // JSON; empty removes the subtree
}

// RaiseLevel raises the format level of the stream. Programs that do not support
// the new level stop folding there.
type RaiseLevel struct {
	Level uint16 `msgpack:"l"`
}

// Tree is the typed configuration at an offset of the settings stream. It is
// immutable; a change creates a new tree. The fields without JSON name are indexes
// built from the other fields.
type Tree struct {
	Offset           ident.Offset                         `json:"offset"`
	Fleet            Fleet                                `json:"fleet"`
	Teams            map[ident.TeamID]Team                `json:"teams"`
	Models           map[ident.ModelID]Model              `json:"models"`
	Services         map[ident.ServiceID]Service          `json:"services"`
	Servers          map[ident.ServerID]Server            `json:"servers"`
	Operators        map[ident.OperatorID]Operator        `json:"operators"`
	CallersByKey     map[KeyHash]Caller                   `json:"-"` // accounts that are not disabled
	OperatorsByKey   map[KeyHash]ident.OperatorID         `json:"-"`
	ServersByModel   map[ident.ModelID][]ident.ServerID   `json:"-"` // sorted
	ServersByService map[ident.ServiceID][]ident.ServerID `json:"-"` // sorted
}

// KeyHash is the hexadecimal SHA-256 of a secret key.
type KeyHash string

// Caller identifies the client account that a key belongs to.
type Caller struct {
	Team    ident.TeamID
	Account ident.AccountID
}

// Fleet holds the fleet-wide settings. Fields that end in S are in seconds.
type Fleet struct {
	OutageHorizonS    int  `json:"outage_horizon_s"`     // seconds of demand that grants should cover during an outage of the log service; default 600
	MaxBodyBytes      int  `json:"max_body_bytes"`       // default 4 MiB
	MaxOutputTokens   int  `json:"max_output_tokens"`    // default 32768
	RequestTimeoutS   int  `json:"request_timeout_s"`    // default 600
	VMListFences      bool `json:"vm_list_fences"`       // the platform lists a VM as removed only after it was powered off
	WeightLoadsPerMin int  `json:"weight_loads_per_min"` // model weight loads per minute in the whole fleet, default 6
	AnswerBufferBytes int  `json:"answer_buffer_bytes"`  // per side process, default 64 MiB
	AnswerRetentionS  int  `json:"answer_retention_s"`   // how long finished answers are retained for retries, default 120
}

// Team is one team's subtree.
type Team struct {
	Name     string                      `json:"name"`
	Accounts map[ident.AccountID]Account `json:"accounts"`
	Models   []ident.ModelID             `json:"models"`
	Services []ident.ServiceID           `json:"services"`
	Priority int                         `json:"priority"` // 0 (first) to 9, default 5
	Weight   int                         `json:"weight"`   // relative share under contention, default 1
	// Caution is a number from 0 to 1. With 1, tokens stay in the ledger and
	// requests are refused sooner during a partition; with 0, tokens are
	// spread over the routers, which can then serve requests longer.
	Caution float64 `json:"caution"`
	// MaxOutputTokens is the largest output that one request may ask for;
	// 0 means the limit of Fleet.
	MaxOutputTokens int `json:"max_output_tokens"`
}

// Account is one client account of a team.
type Account struct {
	KeyHashes []KeyHash `json:"key_hashes"`
	Disabled  bool      `json:"disabled"`
}

// Model is a model that callers can request by name.
type Model struct {
	Version        string            `json:"version"`
	Adapters       []ident.AdapterID `json:"adapters"`
	ContextTokens  int               `json:"context_tokens"`
	TemplateTokens int               `json:"template_tokens"` // prompt tokens added per message by the chat template
}

// Service is a plain HTTP service that callers reach by path.
type Service struct {
	// NonIdempotent lists the HTTP methods whose calls must not run twice,
	// for example POST.
	NonIdempotent []string `json:"once"`
	// CostTokens is the number of tokens billed per call; 0 means free.
	CostTokens int64 `json:"cost_tokens"`
}

// Server is one backend server.
type Server struct {
	VM           ident.VMID         `json:"vm"`
	DataCentre   ident.DataCentreID `json:"data_centre"`
	Models       []ident.ModelID    `json:"models"`
	Adapters     []ident.AdapterID  `json:"adapters"`
	Services     []ident.ServiceID  `json:"services"`
	Role         string             `json:"role"`          // "mixed", "prefill" or "decode"; empty means mixed
	ChecksFences bool               `json:"checks_fences"` // the server refuses requests with an outdated fencing token
	Slots        int                `json:"slots"`         // runs it can process concurrently in a batch, default 8
}

// Operator is a person or a committee member that may change settings or top up
// budgets.
type Operator struct {
	Name      string    `json:"name"`
	KeyHashes []KeyHash `json:"key_hashes"`
	// Subtrees lists the paths that the operator may change; "*" means all.
	Subtrees []Path `json:"subtrees"`
	// TopUpTeams lists the teams whose budgets the operator may top up; "*" means all.
	TopUpTeams []ident.TeamID `json:"top_ups"`
}
