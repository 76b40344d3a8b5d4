package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// subtreeDocument is one subtree of the settings.
type subtreeDocument struct {
	Path    settings.Path    `json:"path"`
	Version ident.Offset     `json:"version"` // -1 if it never existed
	Author  ident.OperatorID `json:"author,omitempty"`
	Value   json.RawMessage  `json:"value"`
}

// changeBody is the request body of a change.
type changeBody struct {
	ID    string          `json:"id"`
	Base  *ident.Offset   `json:"base"`
	Value json.RawMessage `json:"value"` // null removes the subtree
}

// changeDocument is the response to a change.
type changeDocument struct {
	subtreeDocument
	DryRun   bool         `json:"dry_run,omitempty"`
	Repeated bool         `json:"repeated,omitempty"` // a change with the same ID was accepted before
	Diff     []fieldDiff  `json:"diff"`
	InForce  *applyReport `json:"in_force,omitempty"`
}

// fieldDiff is one field that a change modifies.
type fieldDiff struct {
	Field  string `json:"field"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

func (c *call) path() settings.Path {
	return settings.Path(strings.Trim(c.params.ByName("path"), "/"))
}

// getSettings returns a subtree, or the paths of all subtrees if the path is empty.
func (a *API) getSettings(c *call) (any, *refusal.Refusal) {
	path := c.path()
	if path == "" {
		var paths []settings.Path
		a.config.Fleet.ViewSettings(func(s *settings.State) { paths = s.Paths() })
		return struct {
			Paths []settings.Path `json:"paths"`
		}{paths}, nil
	}
	sub := a.subtree(path)
	if len(sub.Value) == 0 {
		return nil, refusal.New(refusal.NotFound, refusal.NotRun, "There is nothing at "+string(path)+".")
	}
	return subtreeDocumentOf(sub), nil
}

func (a *API) subtree(path settings.Path) settings.Subtree {
	var sub settings.Subtree
	a.config.Fleet.ViewSettings(func(s *settings.State) { sub = s.Subtree(path) })
	return sub
}

func subtreeDocumentOf(sub settings.Subtree) subtreeDocument {
	value := json.RawMessage(sub.Value)
	if len(value) == 0 {
		value = json.RawMessage("null")
	}
	return subtreeDocument{Path: sub.Path, Version: sub.Version, Author: sub.Author, Value: value}
}

// putSettings replaces a subtree if its current version is the base of the change.
func (a *API) putSettings(c *call) (any, *refusal.Refusal) {
	var body changeBody
	if refused := c.decode(&body); refused != nil {
		return nil, refused
	}
	switch {
	case body.ID == "":
		return nil, badRequest("id: want an identifier of the change.")
	case body.Base == nil:
		return nil, badRequest("base: want the version that the change was made against, -1 if there is none.")
	case len(body.Value) == 0:
		return nil, badRequest("value: want the new subtree, or null to remove it.")
	}
	change := settings.Change{ID: body.ID, Path: c.path(), Base: *body.Base, Author: c.operator, Value: body.Value}
	if string(body.Value) == "null" {
		change.Value = nil
	}
	if c.URL.Query().Get("dry_run") == "true" {
		return a.dryRun(c, change)
	}
	return a.publishAndReport(c, change)
}

// dryRun validates a change and returns its diff without publishing it.
func (a *API) dryRun(c *call, change settings.Change) (any, *refusal.Refusal) {
	if refused := a.validateChange(c, change); refused != nil {
		return nil, refused
	}
	current := a.subtree(change.Path)
	if current.Version != change.Base {
		return nil, conflictRefusal(current)
	}
	result := settings.Subtree{Path: change.Path, Version: current.Version, Author: c.operator, Value: change.Value}
	return changeDocument{subtreeDocument: subtreeDocumentOf(result), DryRun: true, Diff: diff(current.Value, change.Value)}, nil
}

// validateChange checks the path, the operator's right and the value of a change.
func (a *API) validateChange(c *call, change settings.Change) *refusal.Refusal {
	if !change.Path.Valid() {
		return badRequest(string(change.Path) + ": " + c.tree.Check(change.Path, change.Value).Error() + ".")
	}
	// The right comes first: a validation error may reveal other subtrees.
	if refused := c.requireRightTo(change.Path); refused != nil {
		return refused
	}
	if err := c.tree.Check(change.Path, change.Value); err != nil {
		return badRequest(string(change.Path) + ": " + err.Error() + ".")
	}
	return nil
}

// publishAndReport publishes a change and returns the fold's verdict, the diff and
// how many members have applied the change.
func (a *API) publishAndReport(c *call, change settings.Change) (any, *refusal.Refusal) {
	previous := a.subtree(change.Path)
	verdict, refused := a.publish(c, change)
	if refused != nil {
		return nil, refused
	}
	current := a.subtree(change.Path)
	document := changeDocument{subtreeDocument: subtreeDocumentOf(current), Repeated: verdict.Outcome == settings.Repeated}
	document.Version = verdict.Version
	if !document.Repeated {
		document.Diff = diff(previous.Value, change.Value)
	}
	document.InForce = a.awaitApplied(c.Context(), verdict.Version)
	return document, nil
}

// publish validates and appends a change. A repeated change is not validated again:
// it was accepted, and later changes of other settings or rights do not matter.
func (a *API) publish(c *call, change settings.Change) (settings.Verdict, *refusal.Refusal) {
	if current := a.subtree(change.Path); current.ID == change.ID && current.Version != ident.NoOffset {
		return settings.Verdict{Outcome: settings.Repeated, Version: current.Version}, nil
	}
	if refused := a.validateChange(c, change); refused != nil {
		return settings.Verdict{}, refused
	}
	if refused := a.waitForRateLimit(c); refused != nil {
		return settings.Verdict{}, refused
	}
	r, err := record.New(settings.KindChange, change)
	if err != nil {
		return settings.Verdict{}, badRequest(err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Context(), submitTimeout)
	defer cancel()
	verdicts, err := a.config.Fleet.SubmitSettings(ctx, r)
	if err != nil {
		return settings.Verdict{}, submitRefusal(err)
	}
	verdict := verdicts[0]
	return verdict, a.verdictRefusal(change, verdict)
}

// verdictRefusal returns the refusal for a verdict, nil if the change was accepted now
// or before.
func (a *API) verdictRefusal(change settings.Change, verdict settings.Verdict) *refusal.Refusal {
	switch verdict.Outcome {
	case settings.Accepted, settings.Repeated:
		a.counts.Inc("change_accepted")
		return nil
	case settings.Conflict:
		return conflictRefusal(verdict.Current)
	case settings.Forbidden:
		return forbidden("Operator " + string(change.Author) + " has no right to " + string(change.Path) + ".")
	case settings.Lockout:
		return badRequest("The change would leave no operator with all rights.")
	default:
		return badRequest("The log refused the change as invalid.")
	}
}

// conflictRefusal returns the refusal of a change whose base is no longer the current
// version, with the current subtree and its author.
func conflictRefusal(current settings.Subtree) *refusal.Refusal {
	message := fmt.Sprintf("%s was changed by %q to version %d: %s. Read it again and repeat your change.",
		current.Path, current.Author, current.Version, subtreeDocumentOf(current).Value)
	return refusal.New(refusal.ConflictingVersion, refusal.NotRun, message)
}

// diff lists the fields in which two JSON documents differ, sorted by path.
func diff(before, after []byte) []fieldDiff {
	var b, a any
	_ = json.Unmarshal(before, &b) // an empty document is null
	_ = json.Unmarshal(after, &a)
	diffs := []fieldDiff{}
	diffValues("", b, a, &diffs)
	slices.SortFunc(diffs, func(x, y fieldDiff) int { return strings.Compare(x.Field, y.Field) })
	return diffs
}

func diffValues(path string, before, after any, diffs *[]fieldDiff) {
	b, bIsObject := before.(map[string]any)
	a, aIsObject := after.(map[string]any)
	if !bIsObject || !aIsObject {
		if !reflect.DeepEqual(before, after) {
			*diffs = append(*diffs, fieldDiff{Field: path, Before: before, After: after})
		}
		return
	}
	fields := map[string]struct{}{}
	for field := range b {
		fields[field] = struct{}{}
	}
	for field := range a {
		fields[field] = struct{}{}
	}
	for field := range fields {
		diffValues(strings.TrimPrefix(path+"."+field, "."), b[field], a[field], diffs)
	}
}

// applyWaitTimeout is how long the response to a change waits for all members to apply
// it.
const applyWaitTimeout = 3 * time.Second
