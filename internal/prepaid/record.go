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
	// Count is how often the entry was written.
	Count uint64 `msgpack:"n"`
	// Rates says how fast the account's homes use it, by node.
	Rates map[string]rate `msgpack:"r,omitempty"`
}

// rate is what a home said of its use when it wrote the entry last.
type rate struct {
	Tokens float64 `msgpack:"t"` // a second
	Count  uint64  `msgpack:"n"` // of the entry then
}

// rateLasts is for how many writes of an entry a rate counts: some rounds of
// all homes, after which a home that has not written is gone or idle.
const rateLasts = 24

// noted returns the rates with one changed, without those that are outdated.
func (e entry) noted(node string, tokens float64) map[string]rate {
	rates := map[string]rate{node: {Tokens: tokens, Count: e.Count}}
	for other, r := range e.Rates {
		if other != node && e.Count-r.Count <= rateLasts {
			rates[other] = r
		}
	}
	return rates
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
