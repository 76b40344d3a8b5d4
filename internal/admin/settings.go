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

// subtreeDocument is one subtree.
type subtreeDocument struct {
	Path    settings.Path    `json:"path"`
	Version ident.Offset     `json:"version"` // -1 if it never existed
	Author  ident.OperatorID `json:"author,omitempty"`
	Value   json.RawMessage  `json:"value"`
}

// changeBody is the body of a change.
type changeBody struct {
	ID    string          `json:"id"`
	Base  *ident.Offset   `json:"base"`
	Value json.RawMessage `json:"value"` // null removes the subtree
}

// changeDocument is the answer to a change.
type changeDocument struct {
	subtreeDocument
	DryRun   bool         `json:"dry_run,omitempty"`
	Repeated bool         `json:"repeated,omitempty"` // accepted before under the same id
	Diff     []differing  `json:"diff"`
	InForce  *forceReport `json:"in_force,omitempty"`
}

// differing is one field that a change changes.
type differing struct {
	Field  string `json:"field"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

func (c *call) path() settings.Path {
	return settings.Path(strings.Trim(c.params.ByName("path"), "/"))
}

// getSettings shows a subtree, or lists all if no path is given.
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
	return documentOf(sub), nil
}

func (a *API) subtree(path settings.Path) settings.Subtree {
	var sub settings.Subtree
	a.config.Fleet.ViewSettings(func(s *settings.State) { sub = s.Subtree(path) })
	return sub
}

func documentOf(sub settings.Subtree) subtreeDocument {
	value := json.RawMessage(sub.Value)
	if len(value) == 0 {
		value = json.RawMessage("null")
	}
	return subtreeDocument{Path: sub.Path, Version: sub.Version, Author: sub.Author, Value: value}
}

// putSettings replaces a subtree if its version still stands.
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
	return a.change(c, change)
}

// dryRun checks a change and shows what it would do.
func (a *API) dryRun(c *call, change settings.Change) (any, *refusal.Refusal) {
	if refused := a.check(c, change); refused != nil {
		return nil, refused
	}
	present := a.subtree(change.Path)
	if present.Version != change.Base {
		return nil, conflict(present)
	}
	after := settings.Subtree{Path: change.Path, Version: present.Version, Author: c.operator, Value: change.Value}
	return changeDocument{subtreeDocument: documentOf(after), DryRun: true, Diff: diff(present.Value, change.Value)}, nil
}

// check validates a change before it is published.
func (a *API) check(c *call, change settings.Change) *refusal.Refusal {
	if !change.Path.Valid() {
		return badRequest(string(change.Path) + ": " + c.tree.Check(change.Path, change.Value).Error() + ".")
	}
	// What is wrong with a value may tell of others' subtrees.
	if refused := c.mayChange(change.Path); refused != nil {
		return refused
	}
	if err := c.tree.Check(change.Path, change.Value); err != nil {
		return badRequest(string(change.Path) + ": " + err.Error() + ".")
	}
	return nil
}

// change publishes a change and reports the fold's verdict.
func (a *API) change(c *call, change settings.Change) (any, *refusal.Refusal) {
	present := a.subtree(change.Path)
	verdict, refused := a.publish(c, change)
	if refused != nil {
		return nil, refused
	}
	now := a.subtree(change.Path)
	document := changeDocument{subtreeDocument: documentOf(now), Repeated: verdict.Outcome == settings.Repeated}
	document.Version = verdict.Version
	if !document.Repeated {
		document.Diff = diff(present.Value, change.Value)
	}
	document.InForce = a.awaitForce(c.Context(), verdict.Version)
	return document, nil
}

// publish appends a checked change. A repeated one is not checked again: it
// was accepted, whatever has changed around it since.
func (a *API) publish(c *call, change settings.Change) (settings.Verdict, *refusal.Refusal) {
	if present := a.subtree(change.Path); present.ID == change.ID && present.Version != ident.NoOffset {
		return settings.Verdict{Outcome: settings.Repeated, Version: present.Version}, nil
	}
	if refused := a.check(c, change); refused != nil {
		return settings.Verdict{}, refused
	}
	if refused := a.admit(c); refused != nil {
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
		return settings.Verdict{}, submitFailed(err)
	}
	verdict := verdicts[0]
	return verdict, a.judge(change, verdict)
}

// judge turns a verdict that is not an acceptance into a refusal.
func (a *API) judge(change settings.Change, verdict settings.Verdict) *refusal.Refusal {
	switch verdict.Outcome {
	case settings.Accepted, settings.Repeated:
		a.counts.Inc("change_accepted")
		return nil
	case settings.Conflict:
		return conflict(verdict.Current)
	case settings.Forbidden:
		return forbidden("Operator " + string(change.Author) + " has no right to " + string(change.Path) + ".")
	case settings.Lockout:
		return badRequest("The change would leave no operator with all rights.")
	default:
		return badRequest("The log refused the change as invalid.")
	}
}

// conflict tells a loser of a race what the winner did.
func conflict(winner settings.Subtree) *refusal.Refusal {
	message := fmt.Sprintf("%s was changed by %q to version %d: %s. Read it again and repeat your change.",
		winner.Path, winner.Author, winner.Version, documentOf(winner).Value)
	return refusal.New(refusal.ConflictingVersion, refusal.NotRun, message)
}

// diff lists the fields in which two JSON documents differ, by path.
func diff(before, after []byte) []differing {
	var b, a any
	_ = json.Unmarshal(before, &b) // an empty document is null
	_ = json.Unmarshal(after, &a)
	list := []differing{}
	diffValues("", b, a, &list)
	slices.SortFunc(list, func(x, y differing) int { return strings.Compare(x.Field, y.Field) })
	return list
}

func diffValues(path string, before, after any, list *[]differing) {
	b, bIsObject := before.(map[string]any)
	a, aIsObject := after.(map[string]any)
	if !bIsObject || !aIsObject {
		if !reflect.DeepEqual(before, after) {
			*list = append(*list, differing{Field: path, Before: before, After: after})
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
		diffValues(strings.TrimPrefix(path+"."+field, "."), b[field], a[field], list)
	}
}

// forceWait is how long the answer to a change waits for all members to have
// it in force.
const forceWait = 3 * time.Second
