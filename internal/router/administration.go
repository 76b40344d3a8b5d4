package router

import (
	"net/http"

	"github.com/camphorlever/camphorlever/internal/admin"
	"github.com/camphorlever/camphorlever/internal/filter"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/rpc"
)

// administration returns the handler of the administration interface.
func (r *Router) administration() http.Handler {
	api := admin.New(admin.Config{
		Fleet:        r.node,
		Ledger:       r.node.Ledger(),
		Peers:        members{gates: r.gates, routers: r.routers},
		BootstrapKey: r.options.BootstrapOperatorKeyHash,
		Ready:        r.node.Ready,
		Logger:       r.log,
	})
	return api.Handler()
}

// members calls any process of the fleet.
type members struct {
	gates   *gates
	routers *routers
}

// Caller implements admin.Peers.
func (m members) Caller(member fleet.Member) rpc.Caller {
	address := member.Registration.Address
	if member.Registration.Role == fleet.RoleRouter {
		return m.routers.caller(address)
	}
	return m.gates.caller(filter.Target{Gate: member.Incarnation, Address: address})
}
