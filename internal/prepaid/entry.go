// Package prepaid limits client accounts to their prepaid tokens. It uses a log
// that retains the newest entry of each key. The entry of an account holds the
// number of tokens that routers have drawn in all. A router spends only tokens
// that it has drawn, and draws with a conditional append, which takes effect only
// if no other router has written since the last read. So the tokens that routers
// hold or have spent never exceed those paid for, whatever faults machines, links
// and clocks have.
package prepaid

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// entry is the budget entry of an account in the log.
type entry struct {
	// Drawn is the number of tokens that routers have drawn, less those that they
	// have returned.
	Drawn int64 `msgpack:"d"`
	// Paid is the total number of tokens paid for, as of the newest version of
	// the settings that a writer of the entry knew.
	Paid    int64 `msgpack:"p"`
	Version int64 `msgpack:"v"`
	// Incarnation and Write identify the append, so that a writer that got no
	// reply can find out whether the append took effect.
	Incarnation string `msgpack:"l"`
	Write       uint64 `msgpack:"w"`
	// Era is the era of the log in which the entry was planned. An append that takes
	// effect late may be written in a later one.
	Era logservice.Era `msgpack:"e,omitempty"`
	// Count is the number of writes of the account's entry.
	Count uint64 `msgpack:"n"`
	// Parts says how much of Drawn belongs to which incarnation. After the log was
	// restored from an older copy, what is missing there is found by comparing parts.
	Parts map[writer]part `msgpack:"k,omitempty"`
	// Folds is how many parts were removed, their tokens remaining in Drawn.
	Folds uint64 `msgpack:"f,omitempty"`
	// Rates is how fast the account's owners use it, by node.
	Rates map[string]rate `msgpack:"r,omitempty"`
}

// rate is the use that an owner published when it last wrote the entry.
type rate struct {
	Tokens float64 `msgpack:"t"` // per second
	Count  uint64  `msgpack:"n"` // value of entry.Count then
}

// rateMaxAge is for how many writes of an entry a rate is valid. They make up
// several rounds of all owners, after which an owner that has not written has
// left or is idle.
const rateMaxAge = 24

// withRate returns the rates with that of one node set, without expired ones.
func (e entry) withRate(node string, tokens float64) map[string]rate {
	rates := map[string]rate{node: {Tokens: tokens, Count: e.Count}}
	for other, r := range e.Rates {
		if other != node && e.Count-r.Count <= rateMaxAge {
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
