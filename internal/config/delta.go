package config

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// delta is the encoded difference between two envelopes.
type delta struct {
	// Full is the whole encoded envelope. It is set, and the other fields are empty, when the difference is not smaller than
	// the new text.
	Full []byte `msgpack:"f,omitempty"`
	// BaseDigest is the digest of the text that the delta applies to.
	BaseDigest string `msgpack:"bd,omitempty"`
	// Prefix and Suffix are the numbers of bytes that both texts have in common at their start and end. Middle is the part of
	// the new text between them.
	Prefix int    `msgpack:"p,omitempty"`
	Suffix int    `msgpack:"s,omitempty"`
	Middle []byte `msgpack:"m,omitempty"`
	// Meta is the new envelope with an empty Text.
	Meta Envelope `msgpack:"e"`
}

// MakeDelta encodes the difference between old and next, or the whole of next when the difference is not smaller than its text.
func MakeDelta(old, next Envelope) []byte {
	prefix := commonPrefix(old.Text, next.Text)
	suffix := commonSuffix(old.Text[prefix:], next.Text[prefix:])
	metadata := next
	metadata.Text = ""
	change := delta{
		BaseDigest: old.Digest, Prefix: prefix, Suffix: suffix,
		Middle: []byte(next.Text[prefix : len(next.Text)-suffix]), Meta: metadata,
	}
	encoded := mustMarshal(&change)
	if len(encoded) < len(next.Text) {
		return encoded
	}
	return mustMarshal(&delta{Full: mustMarshal(&next)})
}

// ApplyDelta applies an encoded delta to old and returns the new envelope. Its errors match ErrMalformed, ErrBaseMismatch or
// ErrDigestMismatch.
func ApplyDelta(old Envelope, encoded []byte) (Envelope, error) {
	var change delta
	if err := decode(encoded, &change, "delta"); err != nil {
		return Envelope{}, err
	}
	next, err := change.apply(old)
	if err != nil {
		return Envelope{}, err
	}
	if len(next.Text) > MaxDocumentBytes {
		return Envelope{}, errors.Wrap(ErrMalformed, "text is too large after applying the delta")
	}
	if Digest(next.Text) != next.Digest {
		return Envelope{}, errors.Wrapf(ErrDigestMismatch, "delta to revision %d", next.Revision)
	}
	return next, nil
}

// apply rebuilds the new envelope from old. It checks the bounds of the delta, but not the digest of the resulting text.
func (d *delta) apply(old Envelope) (Envelope, error) {
	if len(d.Full) > 0 {
		return DecodeEnvelope(d.Full)
	}
	if d.BaseDigest != old.Digest {
		return Envelope{}, errors.Wrapf(ErrBaseMismatch, "revision %d is in force", old.Revision)
	}
	length := len(old.Text)
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > length || d.Suffix > length-d.Prefix {
		return Envelope{}, errors.Wrap(ErrMalformed, "delta refers to bytes beyond the end of the old text")
	}
	next := d.Meta
	next.Time = next.Time.UTC()
	next.Text = old.Text[:d.Prefix] + string(d.Middle) + old.Text[length-d.Suffix:]
	return next, nil
}

// commonPrefix returns the length in bytes of the longest common prefix of a and b.
func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// commonSuffix returns the length in bytes of the longest common suffix of a and b.
func commonSuffix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// mustMarshal encodes a struct of this package. It panics on an error, because msgpack can encode all of them.
func mustMarshal(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "config: encode"))
	}
	return data
}
