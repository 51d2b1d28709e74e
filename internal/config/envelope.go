package config

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors of envelopes and deltas, for use with errors.Is.
var (
	// ErrDigestMismatch means that the SHA-256 of a text differs from the digest in its envelope.
	ErrDigestMismatch = errors.New("config: text does not match its digest")
	// ErrMalformed means that an encoded envelope or delta cannot be decoded.
	ErrMalformed = errors.New("config: malformed encoding")
	// ErrBaseMismatch means that a delta was made for another base text than the one it is applied to.
	ErrBaseMismatch = errors.New("config: delta was made for another text")
)

// maxEncodedBytes bounds an encoded envelope or delta: the largest text and 64 KiB for the other fields. The decoder recurses
// once per nesting level of an unknown field; a link frame of 16 MiB can nest so deeply that the stack overflows, which ends the
// process.
const maxEncodedBytes = MaxDocumentBytes + 64<<10

// decode parses data into value. typeName appears in its errors, which match ErrMalformed.
func decode(data []byte, value any, typeName string) error {
	if len(data) > maxEncodedBytes {
		return errors.Wrapf(ErrMalformed, "%s of %d bytes, at most %d are allowed", typeName, len(data), maxEncodedBytes)
	}
	return errors.Mark(errors.Wrapf(msgpack.Unmarshal(data, value), "config: %s", typeName), ErrMalformed)
}

// EncodeEnvelope returns the msgpack encoding of an envelope, which is used in the store and on links.
func EncodeEnvelope(e Envelope) ([]byte, error) {
	data, err := msgpack.Marshal(&e)
	return data, errors.Wrap(err, "config: encode envelope")
}

// DecodeEnvelope parses an encoded envelope. Its errors match ErrMalformed. It does not check the digest; NewActive does.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := decode(data, &e, "envelope"); err != nil {
		return Envelope{}, err
	}
	e.Time = e.Time.UTC()
	return e, nil
}

// NewActive checks the digest of an envelope and parses its text. Its errors match ErrMalformed, ErrDigestMismatch or ErrInvalid.
func NewActive(e Envelope) (*Active, error) {
	if e.Revision == 0 {
		return nil, errors.Wrap(ErrMalformed, "revision 0")
	}
	if Digest(e.Text) != e.Digest {
		return nil, errors.Wrapf(ErrDigestMismatch, "revision %d", e.Revision)
	}
	cfg, err := Parse(e.Text)
	if err != nil {
		return nil, errors.Wrapf(err, "revision %d", e.Revision)
	}
	return &Active{Envelope: e, Config: cfg}, nil
}
