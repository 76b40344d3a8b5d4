package prepaid

import (
	"time"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Copy is the budget entries that a router knows, by account.
type Copy map[string][]byte

// copyWindow is for how long a change is part of the copies for other routers, far longer
// than the age of a copy from which the log is restored.
const copyWindow = 2 * time.Minute

// Copy returns the known entries that have changed within copyWindow. An append in progress
// that is acknowledged in an earlier era than the given one counts as lost, so that the
// copy holds all draws of that time.
func (l *Ledger) Copy(era logservice.Era) (Copy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = max(l.fence, era)
	recent := map[string]entry{}
	for account, changedAt := range l.changedAt {
		if time.Since(changedAt) < copyWindow {
			recent[account] = l.entries[account]
		}
	}
	return encodeCopy(recent)
}

// CopyOf returns the known entries of some accounts.
func (l *Ledger) CopyOf(accounts []string) (Copy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make(map[string]entry, len(accounts))
	for _, account := range accounts {
		entries[account] = l.entries[account]
	}
	return encodeCopy(entries)
}

// encodeCopy encodes entries, except those without parts, which say nothing about draws.
// It leaves out what only the log needs, since a copy may have to pass a slow link.
func encodeCopy(entries map[string]entry) (Copy, error) {
	encoded := make(Copy, len(entries))
	for account, e := range entries {
		if len(e.Parts) == 0 {
			continue
		}
		e.Incarnation, e.Write, e.Rates = "", 0, nil
		raw, err := e.encode()
		if err != nil {
			return nil, err
		}
		encoded[account] = raw
	}
	return encoded, nil
}

// MergeCopy adds the copy of another router to the known entries.
func (l *Ledger) MergeCopy(entries Copy) error {
	return l.mergeCopy(entries, func(account string) { l.unwritten[account] = struct{}{} })
}

// Observe adds entries that another router has just written.
func (l *Ledger) Observe(entries Copy) error {
	return l.mergeCopy(entries, func(string) {})
}

// mergeCopy calls onChange, with the lock held, for each account that has changed.
func (l *Ledger) mergeCopy(entries Copy, onChange func(account string)) error {
	for account, raw := range entries {
		e, err := decode(logservice.KeyedEntry{Key: account, Value: raw})
		if err != nil {
			return err
		}
		l.mu.Lock()
		if known := l.entries[account]; !known.covers(e) {
			l.entries[account] = merge(known, e)
			l.changedAt[account] = time.Now()
			onChange(account)
		}
		l.mu.Unlock()
	}
	return nil
}
