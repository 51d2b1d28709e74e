package message

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// maxConfigBytes bounds the size of a decompressed configuration. A configuration with 1,330 routes has 0.4 MB.
const maxConfigBytes = 16 << 20

// PackConfig returns the msgpack encoding of a configuration, compressed with DEFLATE. Compression reduces the size to a tenth,
// because every route repeats the field names. The caller packs a configuration once and sends it on many links.
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

// UnpackConfig decodes the output of PackConfig. It returns ErrMalformed if packed cannot be decoded, and never panics on any input.
func UnpackConfig(packed []byte) (*catalog.Config, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes+1))
	if err == nil && len(encoded) > maxConfigBytes {
		err = errors.Newf("configuration exceeds %d bytes", maxConfigBytes)
	}
	if err == nil {
		err = checkBounds(encoded)
	}
	c := &catalog.Config{}
	if err == nil {
		err = msgpack.Unmarshal(encoded, c)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "message: unpack configuration"), ErrMalformed)
	}
	return c, nil
}
