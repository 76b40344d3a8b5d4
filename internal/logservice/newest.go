package logservice

import (
	"context"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// NewestPage is a part of the newest entries of a keyed stream, in the order of
// their keys.
type NewestPage struct {
	Entries []KeyedEntry
	More    bool         // there are keys after the last one
	End     ident.Offset // of the stream when the page was read
}

// Pager reads the newest entry of each key after a key, some at a time.
type Pager interface {
	NewestPage(ctx context.Context, stream Stream, after string) (NewestPage, error)
}

// NewestReader gathers the newest entries of a stream. The pages are read one after
// the other while entries are added, so entries at or after End may or may not be
// among them; a reader goes on from there.
type NewestReader struct {
	Entries []KeyedEntry
	End     ident.Offset // when the first page was read
	begun   bool
}

// Read reads the pages that are missing. Those that were read stay when it fails,
// and the next call goes on behind them: many processes that start at once would
// otherwise keep a busy log busy with the first pages.
func (n *NewestReader) Read(ctx context.Context, log Pager, stream Stream) error {
	for {
		after := ""
		if len(n.Entries) > 0 {
			after = n.Entries[len(n.Entries)-1].Key
		}
		page, err := log.NewestPage(ctx, stream, after)
		if err != nil {
			return err
		}
		if !n.begun {
			n.begun, n.End = true, page.End
		}
		n.Entries = append(n.Entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return nil
		}
	}
}
