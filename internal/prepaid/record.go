// Package prepaid keeps client accounts within their prepaid tokens on a log
// that holds the newest entry of each key. An account's entry says how many
// tokens the routers have drawn in all. A router spends only tokens that it has
// drawn, and draws with an append that takes effect only if nobody else has
// written since it read: so the sum of what all routers ever held never exceeds
// what was paid for, whatever happens to machines, links and clocks.
package prepaid

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// entry is the newest entry of an account.
type entry struct {
	// Drawn is what routers hold or have used, less what they gave back.
	Drawn int64 `msgpack:"d"`
	// Paid is the total that was paid for as of Version of the settings, as the
	// writer knew it.
	Paid    int64 `msgpack:"p"`
	Version int64 `msgpack:"v"`
	// Life and Write name the append, so that a writer whose reply was lost
	// finds out whether it took effect.
	Life  string `msgpack:"l"`
	Write uint64 `msgpack:"w"`
}

func (e entry) encode() ([]byte, error) {
	raw, err := msgpack.Marshal(&e)
	return raw, errors.Wrap(err, "encode budget entry")
}

func decode(e logservice.KeyedEntry) (entry, error) {
	var out entry
	if err := msgpack.Unmarshal(e.Value, &out); err != nil {
		return out, errors.Wrapf(err, "budget entry of account %s", e.Key)
	}
	return out, nil
}
