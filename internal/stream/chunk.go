package stream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// maxChunkBytes is the size of the chunks of a checkpoint.
const maxChunkBytes = 256 << 10

// Chunk is the body of a checkpoint record: one part of a snapshot. Folds are
// deterministic, so chunks of the same snapshot written by different processes
// are interchangeable. Sum distinguishes chunks of different snapshots.
type Chunk struct {
	Covers ident.Offset `msgpack:"c"` // offset of the last entry in the snapshot
	Index  int          `msgpack:"i"`
	Count  int          `msgpack:"n"`
	Sum    uint64       `msgpack:"s"` // xxhash64 of the whole snapshot
	Data   []byte       `msgpack:"d"`
}

// splitSnapshot splits a snapshot into chunks of at most size bytes.
func splitSnapshot(covers ident.Offset, snapshot []byte, size int) []Chunk {
	count := max(1, (len(snapshot)+size-1)/size)
	sum := xxhash.Sum64(snapshot)
	chunks := make([]Chunk, count)
	for i := range chunks {
		data := snapshot[i*size : min((i+1)*size, len(snapshot))]
		chunks[i] = Chunk{Covers: covers, Index: i, Count: count, Sum: sum, Data: data}
	}
	return chunks
}

// decodeChunks returns the valid checkpoint chunks of a batch.
func decodeChunks(batch record.Batch, kind record.Kind) []Chunk {
	var chunks []Chunk
	for _, r := range batch.Records {
		if r.Kind != kind || r.Level > record.BaseLevel {
			continue
		}
		chunk, err := record.Decode[Chunk](r)
		valid := err == nil && chunk.Count > 0 && chunk.Index >= 0 && chunk.Index < chunk.Count
		if valid {
			chunks = append(chunks, chunk)
		}
	}
	return chunks
}

type snapshotID struct {
	covers ident.Offset
	count  int
	sum    uint64
}

// chunkAssembler joins chunks into snapshots and tracks the newest complete one.
type chunkAssembler struct {
	kind           record.Kind
	keepData       bool // keep the chunk data; otherwise only completeness is tracked
	partial        map[snapshotID]map[int][]byte
	completeOffset ident.Offset // last offset of the newest complete snapshot, NoOffset if none
	snapshot       []byte
	startedOffset  ident.Offset // highest offset that any chunk covers, NoOffset if none
}

func newChunkAssembler(kind record.Kind, keepData bool) *chunkAssembler {
	return &chunkAssembler{
		kind:           kind,
		keepData:       keepData,
		partial:        map[snapshotID]map[int][]byte{},
		completeOffset: ident.NoOffset,
		startedOffset:  ident.NoOffset,
	}
}

// addEntry adds the chunks of a log entry.
func (a *chunkAssembler) addEntry(entry logservice.Entry) {
	batch, err := record.Unmarshal(entry.Data)
	if err == nil {
		a.addBatch(batch, entry.Offset)
	}
}

// addBatch adds the chunks of the batch at an offset of the stream.
func (a *chunkAssembler) addBatch(batch record.Batch, offset ident.Offset) {
	for _, chunk := range decodeChunks(batch, a.kind) {
		if chunk.Covers > a.completeOffset && chunk.Covers < offset {
			a.addChunk(chunk)
		}
	}
}

func (a *chunkAssembler) addChunk(chunk Chunk) {
	a.startedOffset = max(a.startedOffset, chunk.Covers)
	id := snapshotID{covers: chunk.Covers, count: chunk.Count, sum: chunk.Sum}
	parts := a.partial[id]
	if parts == nil {
		parts = map[int][]byte{}
		a.partial[id] = parts
	}
	data := chunk.Data
	if !a.keepData {
		data = nil
	}
	parts[chunk.Index] = data
	if len(parts) == chunk.Count {
		a.completeSnapshot(id, parts)
	}
}

// completeSnapshot records a snapshot of which all chunks were added and drops
// the chunks of older ones. A snapshot with a wrong checksum is ignored.
func (a *chunkAssembler) completeSnapshot(id snapshotID, parts map[int][]byte) {
	delete(a.partial, id)
	var snapshot []byte
	for i := range id.count {
		snapshot = append(snapshot, parts[i]...)
	}
	if a.keepData && xxhash.Sum64(snapshot) != id.sum {
		return
	}
	a.completeOffset = id.covers
	a.snapshot = snapshot
	for other := range a.partial {
		if other.covers <= id.covers {
			delete(a.partial, other)
		}
	}
}
