// Package record frames the records that the fleet writes to the log service.
// One log entry holds one Batch: the records of one writer under one identity.
package record

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Identity identifies a batch. A writer retries the same identity until it
// reads the batch back; folds drop repeats by a high-water mark per writer.
type Identity struct {
	Writer   ident.Incarnation `msgpack:"w"`
	Sequence uint64            `msgpack:"s"` // dense per stream, starts at 1
}

// Kind tells how to decode the body of a record; each stream has its own.
type Kind uint16

// Record is one typed record within a batch. Level is the format level that a
// fold must have reached to accept it; a fold below that level refuses the
// record whether or not the program could decode it, so that programs of two
// versions never disagree.
type Record struct {
	Kind  Kind   `msgpack:"k"`
	Level uint16 `msgpack:"l"`
	Body  []byte `msgpack:"b"`
}

// Batch is the content of one log entry.
type Batch struct {
	Identity Identity `msgpack:"i"`
	Records  []Record `msgpack:"r"`
}

// BaseLevel is the format level of the records of the first release.
const BaseLevel uint16 = 1

// New encodes the body of a record of the base level.
func New(kind Kind, body any) (Record, error) {
	raw, err := encode(body)
	if err != nil {
		return Record{}, errors.Wrapf(err, "encode record of kind %d", kind)
	}
	return Record{Kind: kind, Level: BaseLevel, Body: raw}, nil
}

// Decode reads the body of a record.
func Decode[T any](r Record) (T, error) {
	var body T
	if err := msgpack.Unmarshal(r.Body, &body); err != nil {
		return body, errors.Wrapf(err, "decode record of kind %d", r.Kind)
	}
	return body, nil
}

// Marshal encodes a batch as the data of a log entry.
func Marshal(batch Batch) ([]byte, error) {
	raw, err := encode(&batch)
	return raw, errors.Wrap(err, "encode batch")
}

// encode writes structs as arrays, without field names: the log's bytes are
// budgeted. Fields may therefore only be added at the end of a record, and
// only with a new format level.
func encode(value any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(value)
	return buf.Bytes(), err
}

// Unmarshal decodes the data of a log entry.
func Unmarshal(data []byte) (Batch, error) {
	var batch Batch
	err := msgpack.Unmarshal(data, &batch)
	return batch, errors.Wrap(err, "decode batch")
}
