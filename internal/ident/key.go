package ident

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// HashKey derives the fleet-wide key from a team and a caller's idempotency key.
// The team is part of the hash, so that equal idempotency keys of different teams
// do not collide.
func HashKey(team TeamID, idempotencyKey string) Key {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write([]byte(idempotencyKey))
	var key Key
	copy(key[:], h.Sum(nil))
	return key
}

// ParseKey parses the hexadecimal form that Key.String returns. It fails if the
// text is not hexadecimal or has a different length.
func ParseKey(text string) (Key, error) {
	var key Key
	raw, err := hex.DecodeString(text)
	if err != nil {
		return key, errors.Wrap(err, "key is not hexadecimal")
	}
	if len(raw) != len(key) {
		return key, errors.Errorf("key has %d bytes, want %d", len(raw), len(key))
	}
	copy(key[:], raw)
	return key, nil
}
