package message

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// maxConfigBytes bounds a configuration once it is unpacked. One with 1,330 routes has 0.4 MB.
const maxConfigBytes = 16 << 20

// PackConfig returns the compressed wire form of a configuration. Routes repeat their field names, so that it has a tenth of the
// size. It is made once and sent on many links.
func PackConfig(c *catalog.Config) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "message: pack configuration")
	}
	encoder := msgpack.NewEncoder(w)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(c); err != nil {
		return nil, errors.Wrap(err, "message: pack configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "message: pack configuration")
	}
	return out.Bytes(), nil
}

// UnpackConfig reverses PackConfig. It returns ErrMalformed, and never panics on any input.
func UnpackConfig(packed []byte) (*catalog.Config, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes+1))
	if err == nil && len(text) > maxConfigBytes {
		err = errors.Newf("over %d bytes", maxConfigBytes)
	}
	if err == nil {
		err = checkBounds(text)
	}
	c := &catalog.Config{}
	if err == nil {
		err = msgpack.Unmarshal(text, c)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "message: unpack configuration"), ErrMalformed)
	}
	return c, nil
}
