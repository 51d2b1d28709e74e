package config

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors of envelopes and deltas. All are matched with errors.Is.
var (
	// ErrDigestMismatch means that a text does not have the digest that its envelope names.
	ErrDigestMismatch = errors.New("config: text does not match its digest")
	// ErrMalformed means that an encoded envelope or delta cannot be decoded.
	ErrMalformed = errors.New("config: malformed encoding")
	// ErrBaseMismatch means that a delta was made on another envelope.
	ErrBaseMismatch = errors.New("config: delta was made on another revision")
)

// maxEncodedBytes bounds an encoded envelope or delta: the largest text and the other fields. The decoder recurses for each
// level of unknown fields, and a link frame of 16 MiB could nest deep enough to exhaust the stack, which ends the process.
const maxEncodedBytes = MaxDocumentBytes + 64<<10

// decode parses data into value. Its errors match ErrMalformed.
func decode(data []byte, value any, what string) error {
	if len(data) > maxEncodedBytes {
		return errors.Wrapf(ErrMalformed, "%s of %d bytes, at most %d are allowed", what, len(data), maxEncodedBytes)
	}
	return errors.Mark(errors.Wrapf(msgpack.Unmarshal(data, value), "config: %s", what), ErrMalformed)
}

// EncodeEnvelope returns the form in which the store and the links carry an envelope.
func EncodeEnvelope(e Envelope) ([]byte, error) {
	data, err := msgpack.Marshal(&e)
	return data, errors.Wrap(err, "config: encode envelope")
}

// DecodeEnvelope parses an encoded envelope. It does not check the digest; NewActive does.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := decode(data, &e, "envelope"); err != nil {
		return Envelope{}, err
	}
	e.Time = e.Time.UTC()
	return e, nil
}

// NewActive checks the digest of an envelope and parses its text.
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
