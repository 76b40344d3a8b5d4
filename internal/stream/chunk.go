package stream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// chunkBytes is the size of the pieces of a checkpoint.
const chunkBytes = 256 << 10

// Chunk is the body of a checkpoint record: one piece of a snapshot. Folds are
// deterministic, so pieces of the same snapshot written by different processes
// are interchangeable; Sum keeps pieces of different snapshots apart.
type Chunk struct {
	Covers ident.Offset `msgpack:"c"` // last offset in the snapshot
	Index  int          `msgpack:"i"`
	Count  int          `msgpack:"n"`
	Sum    uint64       `msgpack:"s"` // xxhash64 of the whole snapshot
	Data   []byte       `msgpack:"d"`
}

// split cuts a snapshot into chunks.
func split(covers ident.Offset, snapshot []byte, size int) []Chunk {
	count := max(1, (len(snapshot)+size-1)/size)
	sum := xxhash.Sum64(snapshot)
	chunks := make([]Chunk, count)
	for i := range chunks {
		data := snapshot[i*size : min((i+1)*size, len(snapshot))]
		chunks[i] = Chunk{Covers: covers, Index: i, Count: count, Sum: sum, Data: data}
	}
	return chunks
}

// chunksOf returns the checkpoint chunks in the data of an entry.
func chunksOf(batch record.Batch, kind record.Kind) []Chunk {
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

// assembly puts chunks together and keeps the newest complete snapshot.
type assembly struct {
	kind    record.Kind
	keep    bool // keep the data; otherwise only what is complete is known
	partial map[snapshotID]map[int][]byte
	covers  ident.Offset // of the newest complete snapshot, NoOffset if none
	data    []byte
	started ident.Offset // newest offset that any chunk covers
}

func newAssembly(kind record.Kind, keep bool) *assembly {
	return &assembly{
		kind:    kind,
		keep:    keep,
		partial: map[snapshotID]map[int][]byte{},
		covers:  ident.NoOffset,
		started: ident.NoOffset,
	}
}

// entry adds the chunks of an entry.
func (a *assembly) entry(entry logservice.Entry) {
	batch, err := record.Unmarshal(entry.Data)
	if err == nil {
		a.batch(batch, entry.Offset)
	}
}

// batch adds the chunks of a batch that stands at an offset.
func (a *assembly) batch(batch record.Batch, offset ident.Offset) {
	for _, chunk := range chunksOf(batch, a.kind) {
		if chunk.Covers > a.covers && chunk.Covers < offset {
			a.add(chunk)
		}
	}
}

func (a *assembly) add(chunk Chunk) {
	a.started = max(a.started, chunk.Covers)
	id := snapshotID{covers: chunk.Covers, count: chunk.Count, sum: chunk.Sum}
	pieces := a.partial[id]
	if pieces == nil {
		pieces = map[int][]byte{}
		a.partial[id] = pieces
	}
	data := chunk.Data
	if !a.keep {
		data = nil
	}
	pieces[chunk.Index] = data
	if len(pieces) == chunk.Count {
		a.complete(id, pieces)
	}
}

// complete takes a snapshot whose chunks are all there and forgets older ones.
func (a *assembly) complete(id snapshotID, pieces map[int][]byte) {
	delete(a.partial, id)
	var whole []byte
	for i := range id.count {
		whole = append(whole, pieces[i]...)
	}
	if a.keep && xxhash.Sum64(whole) != id.sum {
		return
	}
	a.covers = id.covers
	a.data = whole
	for other := range a.partial {
		if other.covers <= id.covers {
			delete(a.partial, other)
		}
	}
}
