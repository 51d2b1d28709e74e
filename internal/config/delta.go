package config

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// delta is the encoded difference of two envelopes. Full is set when it is smaller than the difference.
type delta struct {
	Full []byte `msgpack:"f,omitempty"`
	// BaseDigest names the text that the delta applies to.
	BaseDigest string `msgpack:"bd,omitempty"`
	// Prefix and Suffix are the bytes of the old text that the new text keeps at its start and end.
	Prefix int    `msgpack:"p,omitempty"`
	Suffix int    `msgpack:"s,omitempty"`
	Middle []byte `msgpack:"m,omitempty"`
	// Meta is the new envelope without its text.
	Meta Envelope `msgpack:"e"`
}

// MakeDelta encodes what turns old into next, or next as a whole when that is smaller.
func MakeDelta(old, next Envelope) []byte {
	prefix := commonPrefix(old.Text, next.Text)
	suffix := commonSuffix(old.Text[prefix:], next.Text[prefix:])
	meta := next
	meta.Text = ""
	change := delta{
		BaseDigest: old.Digest, Prefix: prefix, Suffix: suffix,
		Middle: []byte(next.Text[prefix : len(next.Text)-suffix]), Meta: meta,
	}
	encoded := mustMarshal(&change)
	if len(encoded) < len(next.Text) {
		return encoded
	}
	return mustMarshal(&delta{Full: mustMarshal(&next)})
}

// ApplyDelta returns the envelope that delta leads to from old. It returns ErrMalformed, ErrBase or ErrDigest.
func ApplyDelta(old Envelope, encoded []byte) (Envelope, error) {
	var change delta
	if err := decode(encoded, &change, "delta"); err != nil {
		return Envelope{}, err
	}
	next, err := change.resolve(old)
	if err != nil {
		return Envelope{}, err
	}
	if len(next.Text) > MaxDocumentBytes {
		return Envelope{}, errors.Wrap(ErrMalformed, "delta leads to a text that is too large")
	}
	if Digest(next.Text) != next.Digest {
		return Envelope{}, errors.Wrapf(ErrDigestMismatch, "delta to revision %d", next.Revision)
	}
	return next, nil
}

func (d *delta) resolve(old Envelope) (Envelope, error) {
	if len(d.Full) > 0 {
		return DecodeEnvelope(d.Full)
	}
	if d.BaseDigest != old.Digest {
		return Envelope{}, errors.Wrapf(ErrBaseMismatch, "have revision %d", old.Revision)
	}
	length := len(old.Text)
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > length || d.Suffix > length-d.Prefix {
		return Envelope{}, errors.Wrap(ErrMalformed, "delta exceeds the old text")
	}
	next := d.Meta
	next.Time = next.Time.UTC()
	next.Text = old.Text[:d.Prefix] + string(d.Middle) + old.Text[length-d.Suffix:]
	return next, nil
}

func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// mustMarshal encodes structs of this package, which msgpack can always encode.
func mustMarshal(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "config: encode"))
	}
	return data
}
