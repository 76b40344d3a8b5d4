package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/configcheck"
)

// Exit statuses of the command.
const (
	ExitRefused = 1 // a router said no, or the command is wrong
	ExitUnknown = 3 // no answer arrived: the change may or may not be in force
)

// CLI is the command line of camphorctl.
type CLI struct {
	Admin   []string         `help:"Base URLs of routers' administration listeners, tried in turn." env:"CAMPHOR_ADMIN" default:"http://127.0.0.1:7200"`
	Key     string           `help:"Operator key." env:"CAMPHOR_KEY"`
	Output  string           `help:"table or json; text is the same as table." enum:"table,text,json" default:"table"`
	Version kong.VersionFlag `help:"Print the version."`

	// Platform decodes the settings of the users' platform, for checks of files.
	Platform configcheck.PlatformFormat `kong:"-"`

	Check    checkCommand     `cmd:"" help:"Check a configuration file, and compare it with the version in force."`
	Settings settingsCommands `cmd:"" help:"Read and change settings by path."`
	Team     teamCommands     `cmd:"" help:"Teams."`
	Account  accountCommands  `cmd:"" help:"Client accounts."`
	Keys     keyCommands      `cmd:"" name:"key" help:"Callers' keys, and look-up of requests."`
	Topup    topUpCommand     `cmd:"" help:"Add prepaid tokens to a team's budget."`
	Budget   budgetCommand    `cmd:"" help:"Show a team's budget."`
	Ledger   ledgerCommand    `cmd:"" help:"Show a team's ledger."`
	Drain    drainCommand     `cmd:"" help:"Give a backend server no new work."`
	Status   statusCommand    `cmd:"" help:"Show the members of the fleet."`
	Grants   grantsCommands   `cmd:"" help:"Grants whose holders are gone."`
	Destroy  destroyedCommand `cmd:"" name:"destroyed" help:"State that VMs have been destroyed, which frees what waits for them."`
}

// Session is what a command works with.
type Session struct {
	ctx    context.Context
	client *Client
	out    io.Writer
	errs   io.Writer
	in     io.Reader
	json   bool

	platform configcheck.PlatformFormat
}

// commandWithoutKey is the command that works without an operator key.
const commandWithoutKey = "check <file>"

// Validate requires the operator key for all commands that call a router.
func (cli *CLI) Validate(parsed *kong.Context) error {
	if cli.Key == "" && parsed.Command() != commandWithoutKey {
		return errors.New("missing flags: --key=STRING")
	}
	return nil
}

// NewSession returns the session of a parsed command line.
func (cli *CLI) NewSession(ctx context.Context, in io.Reader, out, errs io.Writer) *Session {
	notify := func(format string, args ...any) {
		fmt.Fprintf(errs, "camphorctl: "+format+"; trying again\n", args...)
	}
	client := NewClient(cli.Admin, cli.Key, notify)
	return &Session{ctx: ctx, client: client, out: out, errs: errs, in: in, json: cli.Output == "json", platform: cli.Platform}
}

// ExitStatus returns the exit status for a command's error.
func ExitStatus(err error) int {
	var check *CheckFailed
	if errors.As(err, &check) {
		return check.Status
	}
	var unknown *Unknown
	if errors.As(err, &unknown) {
		return ExitUnknown
	}
	return ExitRefused
}

// show prints a document for people or for programs.
func (s *Session) show(document json.RawMessage) error {
	if s.json {
		return printJSON(s.out, document)
	}
	return printTable(s.out, document)
}

// get reads a document and prints it.
func (s *Session) get(path string) error {
	var document json.RawMessage
	if err := s.client.Get(s.ctx, path, &document); err != nil {
		return err
	}
	return s.show(document)
}

// write makes a repeatable call and prints its answer.
func (s *Session) write(method, path string, body any) error {
	var document json.RawMessage
	if err := s.client.Write(s.ctx, method, path, body, &document); err != nil {
		return err
	}
	return s.show(document)
}

// orNew returns an identifier, a new one if none is given.
func orNew(id string) string {
	if id != "" {
		return id
	}
	return uuid.NewString()
}
