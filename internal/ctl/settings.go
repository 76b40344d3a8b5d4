package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Subtree is one subtree of the settings as the administration interface
// gives it.
type Subtree struct {
	Path    string          `json:"path"`
	Version ident.Offset    `json:"version"` // -1 if it never existed
	Author  string          `json:"author,omitempty"`
	Value   json.RawMessage `json:"value"`
}

// Change is the body of a settings change.
type Change struct {
	ID    string          `json:"id"`
	Base  ident.Offset    `json:"base"` // version it was made against
	Value json.RawMessage `json:"value"`
}

type settingsCommands struct {
	Get     settingsGet     `cmd:"" help:"Show a subtree."`
	Set     settingsSet     `cmd:"" help:"Replace a subtree, if it still has the version that it was made against."`
	Apply   settingsApply   `cmd:"" help:"Set every subtree of a file that maps paths to values; equal ones are left alone."`
	Remove  settingsRemove  `cmd:"" help:"Remove a subtree."`
	Diff    settingsDiff    `cmd:"" help:"Show what a change would do."`
	History settingsHistory `cmd:"" help:"Show the changes of a subtree."`
}

type settingsGet struct {
	Path string `arg:"" help:"fleet, teams/ID, models/ID, services/ID, servers/ID or operators/ID."`
}

func (c *settingsGet) Run(s *Session) error {
	return s.get("settings/" + c.Path)
}

type settingsSet struct {
	Path   string `arg:"" help:"Path of the subtree."`
	File   string `arg:"" help:"JSON file, - for standard input." default:"-"`
	Base   *int64 `help:"Version that the change was made against; the present one if left out."`
	ID     string `help:"Identifier of the change; repeat it to learn of a lost answer."`
	DryRun bool   `help:"Only check, and show the difference."`
}

func (c *settingsSet) Run(s *Session) error {
	value, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	base := ident.NoOffset
	if c.Base != nil {
		base = ident.Offset(*c.Base)
	} else {
		present, err := s.subtree(c.Path)
		if err != nil {
			return err
		}
		base = present.Version
	}
	return s.change(c.Path, Change{ID: orNew(c.ID), Base: base, Value: value}, c.DryRun)
}

type settingsRemove struct {
	Path   string `arg:"" help:"Path of the subtree."`
	DryRun bool   `help:"Only check, and show the difference."`
}

func (c *settingsRemove) Run(s *Session) error {
	present, err := s.subtree(c.Path)
	if err != nil {
		return err
	}
	if len(present.Value) == 0 {
		return errors.Errorf("there is nothing at %s", c.Path)
	}
	removal := Change{ID: orNew(""), Base: present.Version, Value: json.RawMessage("null")}
	return s.change(c.Path, removal, c.DryRun)
}

type settingsDiff struct {
	Path string `arg:"" help:"Path of the subtree."`
	File string `arg:"" help:"JSON file, - for standard input." default:"-"`
}

func (c *settingsDiff) Run(s *Session) error {
	set := settingsSet{Path: c.Path, File: c.File, DryRun: true}
	return set.Run(s)
}

type settingsHistory struct {
	Path string `arg:"" help:"Path of the subtree."`
}

func (c *settingsHistory) Run(s *Session) error {
	return s.get("history/" + c.Path)
}

type settingsApply struct {
	File   string `arg:"" help:"JSON file: an object of paths and values, - for standard input."`
	DryRun bool   `help:"Only check, and show the differences."`
}

func (c *settingsApply) Run(s *Session) error {
	raw, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	entries, err := orderedMembers(raw)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	for _, entry := range entries {
		if err := c.applyOne(s, entry); err != nil {
			return errors.WithMessage(err, entry.path)
		}
	}
	return nil
}

func (c *settingsApply) applyOne(s *Session, entry member) error {
	present, err := s.subtree(entry.path)
	if err != nil {
		return err
	}
	if sameJSON(present.Value, entry.value) {
		fmt.Fprintf(s.out, "%s: unchanged\n", entry.path)
		return nil
	}
	change := Change{ID: orNew(""), Base: present.Version, Value: entry.value}
	if err := s.put(entry.path, change, c.DryRun, nil); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: %s\n", entry.path, map[bool]string{false: "accepted", true: "would be accepted"}[c.DryRun])
	return nil
}

// subtree reads a subtree. One that is not there has no value; if it was
// removed it still has the version of its removal.
func (s *Session) subtree(path string) (Subtree, error) {
	var present Subtree
	err := s.client.Get(s.ctx, "settings/"+path, &present)
	if !isNotFound(err) {
		return present, err
	}
	removed := Subtree{Path: path, Version: ident.NoOffset}
	var history struct {
		Changes []Subtree `json:"changes"` // newest first
	}
	err = s.client.Get(s.ctx, "history/"+path, &history)
	if err == nil && len(history.Changes) > 0 {
		removed.Version = history.Changes[0].Version
	}
	if isNotFound(err) {
		err = nil
	}
	return removed, err
}

func isNotFound(err error) bool {
	var refused *Refused
	return errors.As(err, &refused) && refused.Status == http.StatusNotFound
}

// change sends a change and prints the answer.
func (s *Session) change(path string, change Change, dryRun bool) error {
	var document json.RawMessage
	if err := s.put(path, change, dryRun, &document); err != nil {
		return err
	}
	return s.show(document)
}

func (s *Session) put(path string, change Change, dryRun bool, reply any) error {
	target := "settings/" + path
	if dryRun {
		target += "?dry_run=true"
	}
	err := s.client.Write(s.ctx, http.MethodPut, target, change, reply)
	if err != nil {
		return errors.WithMessagef(err, "change %s", change.ID)
	}
	return nil
}

// readFile reads a JSON file or standard input.
func (s *Session) readFile(name string) (json.RawMessage, error) {
	raw, err := s.readAll(name)
	if err != nil {
		return nil, err
	}
	if !json.Valid(raw) {
		return nil, errors.Errorf("%s: want valid JSON", name)
	}
	return raw, nil
}

// member is one member of a JSON object.
type member struct {
	path  string
	value json.RawMessage
}

// orderedMembers returns the members of an object in their order.
func orderedMembers(raw []byte) ([]member, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	if token != json.Delim('{') {
		return nil, errors.New("want an object of paths and values")
	}
	var members []member
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		m := member{path: strings.Trim(name.(string), "/")} // members of objects have string names
		if err := dec.Decode(&m.value); err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

// sameJSON reports whether two documents have the same content.
func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
