package prepaid

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
)

// Streams names the streams of the ledger.
type Streams struct {
	// Budgets holds the budget entries. If there are several shards, it is the
	// common prefix of their streams.
	Budgets logservice.Stream
	// Layout holds the number of shards, in one entry that never changes.
	Layout logservice.Stream
	// Shards is the number of shards of a ledger that does not exist yet.
	Shards int
}

// layout is how accounts are spread over shards. All routers must use the same
// one, since an account with entries in two shards could be drawn twice.
type layout struct {
	Shards int `msgpack:"s"`
}

// layoutKey is the key of the layout in its stream.
const layoutKey = "layout"

// maxShards bounds the number of shards, and so the number of streams.
const maxShards = 64

// loadLayout returns the number of shards. The first router records it; the
// append takes effect only in an empty stream, so there is one layout.
func loadLayout(ctx context.Context, log Log, streams Streams) (int, error) {
	shards, found, err := readLayout(ctx, log, streams.Layout)
	if err != nil || found {
		return shards, err
	}
	if shards, err = initialShards(ctx, log, streams); err != nil {
		return 0, err
	}
	raw, err := msgpack.Marshal(&layout{Shards: shards})
	if err != nil {
		return 0, errors.Wrap(err, "encode ledger layout")
	}
	// Whatever the outcome of the append, the entry that is read back counts.
	appendErr := log.AppendAt(ctx, streams.Layout, logservice.Position{}, logservice.KeyedEntry{Key: layoutKey, Value: raw})
	shards, found, err = readLayout(ctx, log, streams.Layout)
	if err == nil && !found {
		err = errors.Wrap(appendErr, "record ledger layout")
	}
	return shards, err
}

func readLayout(ctx context.Context, log Log, stream logservice.Stream) (shards int, found bool, err error) {
	var newest logservice.NewestReader
	if err := newest.Read(ctx, log, stream); err != nil {
		return 0, false, err
	}
	for _, e := range newest.Entries {
		if e.Key != layoutKey {
			continue
		}
		var recorded layout
		if err := msgpack.Unmarshal(e.Value, &recorded); err != nil {
			return 0, false, errors.Wrap(err, "decode ledger layout")
		}
		if recorded.Shards < 1 || recorded.Shards > maxShards {
			return 0, false, errors.Errorf("ledger layout has %d shards", recorded.Shards)
		}
		return recorded.Shards, true, nil
	}
	return 0, false, nil
}

// initialShards returns the number of shards of a ledger without a layout. A
// ledger that was written before layouts existed has one shard.
func initialShards(ctx context.Context, log Log, streams Streams) (int, error) {
	page, err := log.NewestPage(ctx, streams.Budgets, "")
	if err != nil {
		return 0, err
	}
	if len(page.Entries) > 0 {
		return 1, nil
	}
	return min(max(streams.Shards, 1), maxShards), nil
}

// shardStream returns the stream of one of the shards.
func (s Streams) shardStream(index, shards int) logservice.Stream {
	if shards == 1 {
		return s.Budgets
	}
	return s.Budgets + "." + logservice.Stream(strconv.Itoa(index))
}
