package order

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentohead/pimentohead/internal/message"
)

// MaxResponseBytes is the largest response body that is recorded. For a larger one only the status, the header and the digest of
// the body are recorded, and a repeat of the key gets Unknown: the order ran, but its response cannot be replayed.
const MaxResponseBytes = 16 << 10

// Response is the recorded HTTP response of an order.
type Response struct {
	Status int                   `msgpack:"s"`
	Header []message.HeaderField `msgpack:"h"`
	Body   []byte                `msgpack:"b"`
	// Version is the model version that generated the response, empty for services.
	Version string `msgpack:"v,omitempty"`
	// TooLarge is set when the body exceeded MaxResponseBytes and was not recorded. Digest is then its SHA-256.
	TooLarge bool   `msgpack:"tl,omitempty"`
	Digest   []byte `msgpack:"dg,omitempty"`
}

// Shrink returns the response as it is recorded: a body larger than MaxResponseBytes is replaced by its digest.
func (r Response) Shrink() Response {
	if len(r.Body) <= MaxResponseBytes {
		return r
	}
	digest := sha256.Sum256(r.Body)
	r.Body, r.TooLarge, r.Digest = nil, true, digest[:]
	return r
}

// record is the stored value of an idempotency key.
type record struct {
	ClaimID string `msgpack:"id"`
	// RequestDigest is the digest of the request that made the claim.
	RequestDigest [sha256.Size]byte `msgpack:"rq"`
	Response      *Response         `msgpack:"an,omitempty"`
}

func (r record) encode() ([]byte, error) { return msgpack.Marshal(r) }

func decodeRecord(value []byte) (record, error) {
	var r record
	err := msgpack.Unmarshal(value, &r)
	return r, err
}

// storeKey returns the store key of an order. It contains the caller's name, so that callers cannot see each other's orders.
func storeKey(caller, key string) string {
	digest := sha256.Sum256([]byte(key))
	return "/pimentohead/order/" + caller + "/" + hex.EncodeToString(digest[:])
}
