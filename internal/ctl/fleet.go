package ctl

import (
	"net/http"

	"github.com/camphorlever/camphorlever/internal/ident"
)

type drainCommand struct {
	Server ident.ServerID `arg:"" help:"Backend server."`
}

func (c *drainCommand) Run(s *Session) error {
	return s.write(http.MethodPost, joinPath("servers", string(c.Server), "drain"), nil)
}

type statusCommand struct{}

func (*statusCommand) Run(s *Session) error {
	return s.get("status")
}

type grantsCommands struct {
	Stuck grantsStuck `cmd:"" help:"List grants of holders that are gone, and the processes that they wait for."`
}

type grantsStuck struct{}

func (*grantsStuck) Run(s *Session) error {
	return s.get("grants/stuck")
}

type destroyedCommand struct {
	VMs  []ident.VMID      `arg:"" optional:"" name:"vms" help:"VMs; all of them if none is named." json:"vms"`
	UpTo ident.Incarnation `required:"" help:"Last incarnation that is stated to be gone." json:"up_to"`
}

func (c *destroyedCommand) Run(s *Session) error {
	return s.write(http.MethodPost, "destroyed", c)
}
