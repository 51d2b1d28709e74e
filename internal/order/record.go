package order

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentohead/pimentohead/internal/message"
)

// MaxAnswerBytes bounds the body of a recorded answer. Of a larger one the status and the digest are recorded, and a repeated
// key is answered as unknown: the order ran, but its answer cannot be given again.
const MaxAnswerBytes = 16 << 10

// Answer is the answer of an order.
type Answer struct {
	Status int                   `msgpack:"s"`
	Header []message.HeaderField `msgpack:"h"`
	Body   []byte                `msgpack:"b"`
	// TooLarge tells that Body was not recorded; Digest is its SHA-256.
	TooLarge bool   `msgpack:"tl,omitempty"`
	Digest   []byte `msgpack:"dg,omitempty"`
}

// Shrink replaces a body that is too large to be recorded by its digest.
func (a Answer) Shrink() Answer {
	if len(a.Body) <= MaxAnswerBytes {
		return a
	}
	digest := sha256.Sum256(a.Body)
	a.Body, a.TooLarge, a.Digest = nil, true, digest[:]
	return a
}

// record is the value of an order key in the store.
type record struct {
	ClaimID string `msgpack:"id"`
	// Request is the digest of the request that made the claim.
	Request [sha256.Size]byte `msgpack:"rq"`
	Answer  *Answer           `msgpack:"an,omitempty"`
}

func (r record) encode() ([]byte, error) { return msgpack.Marshal(r) }

func decodeRecord(value []byte) (record, error) {
	var r record
	err := msgpack.Unmarshal(value, &r)
	return r, err
}

// storeKey returns the key of an order. The caller's name is part of it, so that callers cannot see each other's orders.
func storeKey(caller, key string) string {
	digest := sha256.Sum256([]byte(key))
	return "/pimentohead/order/" + caller + "/" + hex.EncodeToString(digest[:])
}
