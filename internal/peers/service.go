package peers

import (
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/camphorlever/camphorlever/internal/prepaid"
	"github.com/camphorlever/camphorlever/internal/quarantine"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Lender sends tokens to other routers and receives tokens from them.
type Lender interface {
	Lend(args prepaid.BorrowArgs) prepaid.BorrowReply
	Receive(args prepaid.TransferArgs) error
}

// EvidenceSink accepts evidence against prompt parts.
type EvidenceSink interface {
	Merge(evidence ...quarantine.Evidence)
}

// Methods are the net/rpc methods that other routers call.
type Methods struct {
	lender    Lender
	snapshots Snapshots
	evidence  EvidenceSink
	ledger    LedgerKeeper   // nil if copies of the ledger are not shared
	settings  SettingsSource // nil if settings are not shared
	loads     LoadSink       // nil if no loads are exchanged
}

// NewMethods returns the methods for the balances of lender, for snapshots and for
// evidence.
func NewMethods(lender Lender, snapshots Snapshots, evidence EvidenceSink) *Methods {
	return &Methods{lender: lender, snapshots: snapshots, evidence: evidence}
}

// Lend sends tokens of an account to the calling router. They are taken from
// this router's local balance before the reply is sent. If that is lost, the
// total in the next reply makes up for it.
func (m *Methods) Lend(args *prepaid.BorrowArgs, reply *prepaid.BorrowReply) error {
	return contained(func() error {
		*reply = m.lender.Lend(*args)
		return nil
	})
}

// Receive accepts tokens that another router does not need. It fails if they were
// sent to another incarnation of this router.
func (m *Methods) Receive(args *prepaid.TransferArgs, _ *struct{}) error {
	return contained(func() error { return m.lender.Receive(*args) })
}

// Report accepts evidence against prompt parts.
func (m *Methods) Report(args *EvidenceArgs, _ *struct{}) error {
	return contained(func() error {
		m.evidence.Merge(args.Evidence...)
		return nil
	})
}

// contained runs a method and returns a panic in it as an error: net/rpc would let it
// end the process.
func contained(method func() error) (err error) {
	if recovered := panics.Try(func() { err = method() }); recovered != nil {
		return errors.Wrap(recovered.AsError(), "method panicked")
	}
	return err
}

// Ping answers the heartbeat of a connection.
func (*Methods) Ping(*wire.PingArgs, *wire.PingReply) error {
	return nil
}
