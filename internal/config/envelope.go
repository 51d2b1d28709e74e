package config

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors of envelopes and deltas. All are matched with errors.Is.
var (
	// ErrDigest means that a text does not have the digest that its envelope names.
	ErrDigest = errors.New("config: text does not match its digest")
	// ErrMalformed means that an encoded envelope or delta cannot be decoded.
	ErrMalformed = errors.New("config: malformed encoding")
	// ErrBase means that a delta was made on another envelope.
	ErrBase = errors.New("config: delta was made on another revision")
)

// EncodeEnvelope returns the form in which the store and the links carry an envelope.
func EncodeEnvelope(e Envelope) ([]byte, error) {
	data, err := msgpack.Marshal(&e)
	return data, errors.Wrap(err, "config: encode envelope")
}

// DecodeEnvelope parses an encoded envelope. It does not check the digest; NewActive does.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return Envelope{}, errors.Mark(errors.Wrap(err, "config: envelope"), ErrMalformed)
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
		return nil, errors.Wrapf(ErrDigest, "revision %d", e.Revision)
	}
	cfg, err := Parse(e.Text)
	if err != nil {
		return nil, errors.Wrapf(err, "revision %d", e.Revision)
	}
	return &Active{Envelope: e, Config: cfg}, nil
}
