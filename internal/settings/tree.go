// Package settings holds the fleet's configuration: a tree of subtrees, each
// changed by compare-and-set in the order of the settings stream.
package settings

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Stream is the name of the settings stream.
const Stream logservice.Stream = "settings"

// Kinds of the records of the settings stream.
const (
	KindChange     record.Kind = 1
	KindCheckpoint record.Kind = 2
	KindRaiseLevel record.Kind = 3
)

// Path names a subtree: "fleet", "teams/<id>", "models/<id>",
// "services/<id>", "servers/<id>" or "operators/<id>".
type Path string

// Change replaces one subtree. The fold accepts it only if the subtree's
// version is still Base.
type Change struct {
	ID     string           `msgpack:"i"` // chosen by the operator's client; makes retries idempotent
	Path   Path             `msgpack:"p"`
	Base   ident.Offset     `msgpack:"b"` // version it was made against; NoOffset if absent
	Author ident.OperatorID `msgpack:"a"`
	Value  []byte           `msgpack:"v"` // JSON; empty removes the subtree
}

// RaiseLevel raises the format level of the stream.
type RaiseLevel struct {
	Level uint16 `msgpack:"l"`
}

// Tree is the typed configuration in force at an offset. It is immutable:
// a change makes a new tree.
type Tree struct {
	Offset           ident.Offset                         `json:"offset"`
	Fleet            Fleet                                `json:"fleet"`
	Teams            map[ident.TeamID]Team                `json:"teams"`
	Models           map[ident.ModelID]Model              `json:"models"`
	Services         map[ident.ServiceID]Service          `json:"services"`
	Servers          map[ident.ServerID]Server            `json:"servers"`
	Operators        map[ident.OperatorID]Operator        `json:"operators"`
	CallersByKey     map[KeyHash]Caller                   `json:"-"` // callers by hashed key, derived
	OperatorsByKey   map[KeyHash]ident.OperatorID         `json:"-"` // operators by hashed key, derived
	ServersByModel   map[ident.ModelID][]ident.ServerID   `json:"-"` // servers of a model, derived
	ServersByService map[ident.ServiceID][]ident.ServerID `json:"-"` // servers of a service, derived
}

// KeyHash is the hexadecimal SHA-256 of a secret key.
type KeyHash string

// Caller is the client account that a key belongs to.
type Caller struct {
	Team    ident.TeamID
	Account ident.AccountID
}

// Fleet holds the settings that concern no single team.
type Fleet struct {
	OutageHorizonS    int  `json:"outage_horizon_s"`     // seconds of demand that grants should cover; default 600
	MaxBodyBytes      int  `json:"max_body_bytes"`       // default 4 MiB
	MaxOutputTokens   int  `json:"max_output_tokens"`    // default 32768
	RequestTimeoutS   int  `json:"request_timeout_s"`    // default 600
	VMListFences      bool `json:"vm_list_fences"`       // the platform lists a VM as gone only after it was powered off
	WeightLoadsPerMin int  `json:"weight_loads_per_min"` // fleet-wide, default 6
	AnswerBufferBytes int  `json:"answer_buffer_bytes"`  // per side process, default 64 MiB
	AnswerRetentionS  int  `json:"answer_retention_s"`   // finished answers kept for retries, default 120
}

// Team is one team's subtree.
type Team struct {
	Name     string                      `json:"name"`
	Accounts map[ident.AccountID]Account `json:"accounts"`
	Models   []ident.ModelID             `json:"models"`
	Services []ident.ServiceID           `json:"services"`
	Priority int                         `json:"priority"` // 0 (first) to 9, default 5
	Weight   int                         `json:"weight"`   // share under contention, default 1
	// Caution is 0 to 1: 1 keeps tokens in the ledger and refuses sooner,
	// 0 spreads them over the routers and answers longer during a cut.
	Caution float64 `json:"caution"`
	// MaxOutputTokens bounds the output that one request may ask for.
	MaxOutputTokens int `json:"max_output_tokens"`
}

// Account is one client account of a team.
type Account struct {
	KeyHashes []KeyHash `json:"key_hashes"`
	Disabled  bool      `json:"disabled"`
}

// Model is a model that callers can name.
type Model struct {
	Version        string            `json:"version"`
	Adapters       []ident.AdapterID `json:"adapters"`
	ContextTokens  int               `json:"context_tokens"`
	TemplateTokens int               `json:"template_tokens"` // prompt tokens added per message by the chat template
}

// Service is a plain service reached by path.
type Service struct {
	// NonIdempotent marks the methods that must not be repeated, for example POST.
	NonIdempotent []string `json:"once"`
	// CostTokens is billed per call; plain services may be free.
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
	ChecksFences bool               `json:"checks_fences"` // refuses orders with an old fencing number
	Slots        int                `json:"slots"`         // runs it batches at once, default 8
}

// Operator is a person or a committee member with rights.
type Operator struct {
	Name      string    `json:"name"`
	KeyHashes []KeyHash `json:"key_hashes"`
	// Subtrees lists the paths the operator may change; "*" is all of them.
	Subtrees []Path `json:"subtrees"`
	// TopUps lists the teams whose budget the operator may top up; "*" is all.
	TopUps []ident.TeamID `json:"top_ups"`
}
