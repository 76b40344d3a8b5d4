package admin

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/refusal"
	"github.com/camphorlever/camphorlever/internal/settings"
)

const (
	historyPageEntries = 500
	// maxHistoryChanges bounds the accepted changes of one response.
	maxHistoryChanges = 100
)

// historyDocument lists the accepted changes of a subtree that the log still
// retains, newest first.
type historyDocument struct {
	Path    settings.Path     `json:"path"`
	Changes []subtreeDocument `json:"changes"`
	// More is set if older changes are no longer in the log.
	More bool `json:"more"`
}

// history returns the accepted changes of a subtree. Each change has the version on
// which it is based, so the accepted ones form a chain back from the current version.
func (a *API) history(c *call) (any, *refusal.Refusal) {
	path := c.path()
	current := a.subtree(path)
	if current.Version == ident.NoOffset {
		return nil, refusal.New(refusal.NotFound, refusal.NotRun, "Nothing was ever at "+string(path)+".")
	}
	changesByOffset, err := a.readChanges(c.Context(), path)
	if err != nil {
		return nil, refusal.New(refusal.LogUnavailable, refusal.NotRun, "The log cannot be read: "+err.Error()+".")
	}
	document := historyDocument{Path: path}
	version := current.Version
	for version != ident.NoOffset && len(document.Changes) < maxHistoryChanges {
		change, ok := findAccepted(changesByOffset[version], version, current)
		if !ok {
			document.More = true
			break
		}
		sub := settings.Subtree{Path: path, Version: version, Author: change.Author, Value: change.Value}
		document.Changes = append(document.Changes, subtreeDocumentOf(sub))
		version = change.Base
	}
	return document, nil
}

// findAccepted returns the accepted change among those of one log entry. For the
// current version it is the change with the current ID; for an older version it is
// the first change whose base is older than the entry.
func findAccepted(changes []settings.Change, version ident.Offset, current settings.Subtree) (settings.Change, bool) {
	for _, change := range changes {
		if version == current.Version && change.ID != current.ID {
			continue
		}
		if change.Base < version {
			return change, true
		}
	}
	return settings.Change{}, false
}

// readChanges reads the changes of a subtree from the log and returns them by offset,
// also those that were not accepted.
func (a *API) readChanges(ctx context.Context, path settings.Path) (map[ident.Offset][]settings.Change, error) {
	byOffset := map[ident.Offset][]settings.Change{}
	log := a.config.Fleet.Log()
	firstPage, err := log.Read(ctx, logservice.ReadRequest{Stream: settings.Stream, From: a.config.Fleet.Offsets().Settings + 1, Max: 1})
	if err != nil {
		return nil, err
	}
	from := firstPage.First
	for {
		page, err := log.Read(ctx, logservice.ReadRequest{Stream: settings.Stream, From: from, Max: historyPageEntries})
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 {
			return byOffset, nil
		}
		for _, entry := range page.Entries {
			if changes := changesIn(entry, path); len(changes) > 0 {
				byOffset[entry.Offset] = changes
			}
			from = entry.Offset + 1
		}
	}
}

// changesIn returns the changes of a subtree in one log entry.
func changesIn(entry logservice.Entry, path settings.Path) []settings.Change {
	batch, err := record.Unmarshal(entry.Data)
	if err != nil {
		return nil
	}
	var changes []settings.Change
	for _, r := range batch.Records {
		if r.Kind != settings.KindChange {
			continue
		}
		change, err := record.Decode[settings.Change](r)
		if err == nil && change.Path == path {
			changes = append(changes, change)
		}
	}
	return changes
}
