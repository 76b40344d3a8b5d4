// Package record encodes the records that the fleet writes to the log service.
// One log entry holds one Batch: the records of one writer under one identity.
package record

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Identity identifies a batch. A writer appends the batch with the same identity
// until it reads it back from the stream; folds drop duplicates by keeping the
// highest sequence number per writer.
type Identity struct {
	Writer   ident.Incarnation `msgpack:"w"`
	Sequence uint64            `msgpack:"s"` // without gaps in each stream, starts at 1
}

// Kind is the type of a record's body. Each stream has its own kinds.
type Kind uint16

// Record is one typed record within a batch. Level is the format level that the
// stream must have reached for a fold to accept the record. Below that level every
// fold refuses it, even if its program could decode it, so that programs of
// different versions always reach the same state.
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

// New returns a record of the base level with the encoded body.
func New(kind Kind, body any) (Record, error) {
	raw, err := encode(body)
	if err != nil {
		return Record{}, errors.Wrapf(err, "encode record of kind %d", kind)
	}
	return Record{Kind: kind, Level: BaseLevel, Body: raw}, nil
}

// Decode decodes the body of a record.
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

// encode encodes structs as arrays without field names, since the bytes appended
// to the log are limited. Fields may therefore be added only at the end of a
// record, and only with a new format level.
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
