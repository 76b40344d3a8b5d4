package logservice

import (
	"context"
)

// NewestPage is one page of the newest entries per key of a keyed stream, ordered by
// key.
type NewestPage struct {
	Entries []KeyedEntry
	More    bool     // further keys follow the last one
	End     Position // end of the stream when the page was read
}

// Pager reads the newest entry of each key in pages. A page starts at the first key
// greater than after.
type Pager interface {
	NewestPage(ctx context.Context, stream Stream, after string) (NewestPage, error)
}

// NewestReader collects the newest entry per key of a stream. Entries may be appended
// while the pages are read, so those at or after End may or may not be included: the
// caller continues to read the stream from End.
type NewestReader struct {
	Entries []KeyedEntry
	End     Position // end of the stream when the first page was read
	started bool
}

// Read reads the remaining pages. When it fails, it keeps the pages already read and
// the next call continues after them: otherwise many processes that start at once
// would load a busy log service with repeated reads of the first pages. It starts over
// if the log is restored from an older copy between two pages.
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
		if n.started && page.End.Era != n.End.Era {
			*n = NewestReader{}
			continue
		}
		if !n.started {
			n.started, n.End = true, page.End
		}
		n.Entries = append(n.Entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return nil
		}
	}
}
