package sidecost

import (
	"bytes"
	"context"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// Shape of the polled server: its view is full, so that each stored block
// pushes an old one out.
const (
	replyBlocks   = 4096
	replyChurn    = 14 * 20 // blocks stored between two polls: runs by new blocks of each
	replyPolls    = 20
	hashStep      = 0x9e3779b97f4a7c15 // spreads the blocks over all 64 bits
	replyOffsets  = 1 << 30            // a log of some age
	replyCaughtUp = replyBlocks/wire.MaxCacheChanges + 2
)

// replySizes encodes load replies as a connection does, which sends its types
// once.
type replySizes struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	cache   *engine.CacheView
	mark    wire.CacheMark
	stored  uint64
}

// loadReply measures the replies to a router's polls: what one holds that
// tells the whole view at once, and what it holds as changes.
func loadReply(_ context.Context, emit measure.Emit) error {
	s := &replySizes{cache: engine.NewCacheView()}
	s.encoder = gob.NewEncoder(&s.buffer)
	s.store(2 * replyBlocks)
	whole, err := s.whole()
	if err != nil {
		return err
	}
	emit("capacity.load_reply_bytes.whole", float64(whole), "bytes")
	first, err := s.poll()
	if err != nil {
		return err
	}
	emit("capacity.load_reply_bytes.first_of_connection", float64(first), "bytes")
	worst := 0
	for range replyCaughtUp {
		size, err := s.poll()
		if err != nil {
			return err
		}
		worst = max(worst, size)
	}
	emit("capacity.load_reply_bytes.piece", float64(worst), "bytes")
	return s.steady(emit)
}

func (s *replySizes) steady(emit measure.Emit) error {
	sum := 0
	for range replyPolls {
		s.store(replyChurn)
		size, err := s.poll()
		if err != nil {
			return err
		}
		sum += size
	}
	emit("capacity.load_reply_bytes.delta", float64(sum)/replyPolls, "bytes")
	idle, err := s.poll()
	emit("capacity.load_reply_bytes.idle", float64(idle), "bytes")
	return err
}

func (s *replySizes) store(blocks int) {
	for range blocks {
		s.stored++
		s.cache.Apply(engine.CachePage{Events: []engine.CacheEvent{{Seq: s.stored, Kind: "stored", Block: s.stored * hashStep}}})
	}
}

func (s *replySizes) poll() (int, error) {
	changes := s.cache.ChangesSince(s.mark)
	s.mark = changes.Mark
	return s.size(reply(changes))
}

// size returns the bytes of one more message on the connection.
func (s *replySizes) size(message any) (int, error) {
	s.buffer.Reset()
	err := s.encoder.Encode(message)
	return s.buffer.Len(), errors.Wrap(err, "encode load reply")
}

// whole returns the size of a reply with all blocks as they were sent before
// there were changes, as numbers, on a connection of its own.
func (s *replySizes) whole() (int, error) {
	type view struct {
		wire.LoadReply
		Epoch   uint64
		Entries []uint64
	}
	old := &replySizes{}
	old.encoder = gob.NewEncoder(&old.buffer)
	message := &view{LoadReply: *reply(wire.CacheChanges{}), Epoch: 1}
	for i := range uint64(replyBlocks) {
		message.Entries = append(message.Entries, (s.stored-i)*hashStep)
	}
	if _, err := old.size(message); err != nil {
		return 0, err
	}
	return old.size(message)
}

func reply(changes wire.CacheChanges) *wire.LoadReply {
	const gate = ident.Incarnation(replyOffsets)
	return &wire.LoadReply{
		Offsets: wire.Offsets{Settings: replyOffsets, Fleet: replyOffsets},
		Gate:    gate,
		Server:  "maps-waco-0001",
		Running: 8,
		Queued:  2,
		Slots:   8,
		Models:  []ident.ModelID{"maps"},
		Role:    "both",
		Service: 120 * time.Millisecond,
		Changes: changes,
	}
}
