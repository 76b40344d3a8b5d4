package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/configcheck"
)

// checkCommand checks a configuration file. It needs no operator key and no router.
type checkCommand struct {
	File    string `arg:"" help:"Configuration, - for standard input."`
	Against string `help:"File with the version in force; otherwise it is read from a router if there is an operator key."`
	Format  string `help:"own (a file for settings apply), platform (the settings of the users' platform) or auto." enum:"own,platform,auto" default:"auto"`
	Strict  bool   `help:"Exit with status 1 if there are warnings or something would lose service."`
}

// CheckFailed is the error of a check that found something or could not be made.
type CheckFailed struct {
	Status int // exit status
	Text   string
}

// Error says what was found.
func (f *CheckFailed) Error() string { return f.Text }

// Run prints the report of a check. The error is a *CheckFailed.
func (c *checkCommand) Run(s *Session) error {
	raw, err := s.readAll(c.File)
	if err != nil {
		return &CheckFailed{Status: configcheck.StatusErrors, Text: err.Error()}
	}
	var against []byte
	if c.Against != "" {
		if against, err = os.ReadFile(c.Against); err != nil {
			return &CheckFailed{Status: configcheck.StatusErrors, Text: err.Error()}
		}
	}
	report := configcheck.Check(configcheck.Input{
		File:     c.File,
		Raw:      raw,
		Format:   configcheck.Format(c.Format),
		Platform: s.platform,
		Active: func(format configcheck.Format) ([]byte, error) {
			if c.Against != "" {
				return against, nil
			}
			return s.active(format)
		},
	})
	if err := s.showReport(report); err != nil {
		return &CheckFailed{Status: configcheck.StatusErrors, Text: err.Error()}
	}
	if status := report.Status(c.Strict); status != configcheck.StatusClean {
		return &CheckFailed{Status: status, Text: fmt.Sprintf("%s: %d errors, %d warnings, %d would lose service",
			c.File, report.Count(configcheck.Error), report.Count(configcheck.Warning), len(report.Losses))}
	}
	return nil
}

func (s *Session) showReport(report *configcheck.Report) error {
	if !s.json {
		return report.WriteText(s.out)
	}
	document, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return printJSON(s.out, document)
}

// active reads the version in force from a router; it is nil if there is none to ask.
// Routers have an administration interface only for the project's own format.
func (s *Session) active(format configcheck.Format) ([]byte, error) {
	if format != configcheck.Own || s.client.key == "" {
		return nil, nil
	}
	return s.allSettings()
}

// allSettings reads all subtrees from a router, as a map of paths and values.
func (s *Session) allSettings() ([]byte, error) {
	var list struct {
		Paths []string `json:"paths"`
	}
	if err := s.client.Get(s.ctx, "settings/", &list); err != nil {
		return nil, err
	}
	subtrees := make(map[string]json.RawMessage, len(list.Paths))
	for _, name := range list.Paths {
		var sub Subtree
		err := s.client.Get(s.ctx, path.Join("settings", name), &sub)
		if isNotFound(err) {
			continue // removed since the list was read
		}
		if err != nil {
			return nil, errors.WithMessage(err, name)
		}
		subtrees[name] = sub.Value
	}
	return json.Marshal(subtrees)
}

// readAll reads a file or standard input.
func (s *Session) readAll(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.in)
	}
	return os.ReadFile(name)
}
