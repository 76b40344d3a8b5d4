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
	historyPage = 500
	// historyLimit bounds how many accepted changes are shown.
	historyLimit = 100
)

// historyDocument lists the accepted changes of a subtree, newest first, as
// far as the log retains them.
type historyDocument struct {
	Path    settings.Path     `json:"path"`
	Changes []subtreeDocument `json:"changes"`
	// More tells that older changes are no longer in the log.
	More bool `json:"more"`
}

// history shows the accepted changes of a subtree. Each names the version it
// was made against, so the accepted ones form a chain back from the present.
func (a *API) history(c *call) (any, *refusal.Refusal) {
	path := c.path()
	present := a.subtree(path)
	if present.Version == ident.NoOffset {
		return nil, refusal.New(refusal.NotFound, refusal.NotRun, "Nothing was ever at "+string(path)+".")
	}
	candidates, err := a.changesOf(c.Context(), path)
	if err != nil {
		return nil, refusal.New(refusal.LogUnavailable, refusal.NotRun, "The log cannot be read: "+err.Error()+".")
	}
	document := historyDocument{Path: path}
	version := present.Version
	for version != ident.NoOffset && len(document.Changes) < historyLimit {
		change, ok := find(candidates[version], version, present)
		if !ok {
			document.More = true
			break
		}
		sub := settings.Subtree{Path: path, Version: version, Author: change.Author, Value: change.Value}
		document.Changes = append(document.Changes, documentOf(sub))
		version = change.Base
	}
	return document, nil
}

// find picks the accepted change among those of one log entry: the present
// one by its ID, an older one as the only change against an older version.
func find(changes []settings.Change, version ident.Offset, present settings.Subtree) (settings.Change, bool) {
	for _, change := range changes {
		if version == present.Version && change.ID != present.ID {
			continue
		}
		if change.Base < version {
			return change, true
		}
	}
	return settings.Change{}, false
}

// changesOf reads the changes of a subtree from the log, by offset.
func (a *API) changesOf(ctx context.Context, path settings.Path) (map[ident.Offset][]settings.Change, error) {
	found := map[ident.Offset][]settings.Change{}
	log := a.config.Fleet.Log()
	start, err := log.Read(ctx, logservice.ReadRequest{Stream: settings.Stream, From: a.config.Fleet.Offsets().Settings + 1, Max: 1})
	if err != nil {
		return nil, err
	}
	from := start.First
	for {
		page, err := log.Read(ctx, logservice.ReadRequest{Stream: settings.Stream, From: from, Max: historyPage})
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 {
			return found, nil
		}
		for _, entry := range page.Entries {
			if changes := changesIn(entry, path); len(changes) > 0 {
				found[entry.Offset] = changes
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
