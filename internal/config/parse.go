package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Default values of optional keys.
const (
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultRequestTimeout = 30 * time.Second
	defaultMaxUnavailable = 1
	defaultCanary         = 1
	defaultWeight         = 1
)

// Digest returns the hex SHA-256 of text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Parse decodes text, refusing unknown keys, sets defaults and validates the whole document. Its errors are of type *FaultsError.
func Parse(text string) (*Config, error) {
	if len(text) > MaxDocumentBytes {
		return nil, NewFaultsError("", fmt.Sprintf("document has %d bytes, at most %d are allowed", len(text), MaxDocumentBytes))
	}
	cfg := &Config{}
	faults, err := DecodeStrict(text, cfg)
	if err != nil {
		return nil, err
	}
	positions := IndexPositions(text)
	cfg.setDefaults(positions)
	var invalid *FaultsError
	if err := cfg.Validate(); errors.As(err, &invalid) {
		positions.FillLines(invalid.Faults)
		faults = append(faults, invalid.Faults...)
	}
	if len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	return cfg, nil
}

// DecodeStrict decodes TOML into target. Unknown keys are returned as faults and do not stop the decoding. A syntax error or a value
// of the wrong type stops it and is returned as a *FaultsError.
func DecodeStrict(text string, target any) ([]Fault, error) {
	err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(target)
	if err == nil {
		return nil, nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		faults := make([]Fault, 0, len(unknownKeys.Errors))
		for i := range unknownKeys.Errors {
			line, _ := unknownKeys.Errors[i].Position()
			faults = append(faults, Fault{Line: line, Key: strings.Join(unknownKeys.Errors[i].Key(), "."), Problem: "unknown key"})
		}
		return faults, nil
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return nil, &FaultsError{Faults: []Fault{{Line: line, Key: strings.Join(decodeErr.Key(), "."), Problem: decodeErr.Error()}}}
	}
	return nil, NewFaultsError("", err.Error())
}

// setDefaults sets the default of each key that is missing in the document. A key that is explicitly zero stays zero, so that
// Validate refuses it, unless the key is in an inline table: positions does not contain such keys.
func (c *Config) setDefaults(positions *Positions) {
	setDefault(positions, "limits.max_body_bytes", &c.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(positions, "limits.max_header_bytes", &c.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(positions, "limits.request_timeout", &c.Limits.RequestTimeout, Duration(DefaultRequestTimeout))
	for i := range c.Models {
		prefix := fmt.Sprintf("model[%d].", i)
		setDefault(positions, prefix+"max_unavailable", &c.Models[i].MaxUnavailable, defaultMaxUnavailable)
		setDefault(positions, prefix+"canary", &c.Models[i].Canary, defaultCanary)
	}
	for i := range c.Callers {
		setDefault(positions, fmt.Sprintf("caller[%d].weight", i), &c.Callers[i].Weight, defaultWeight)
	}
}

// setDefault sets field to value if field is zero and positions does not contain key.
func setDefault[T comparable](positions *Positions, key string, field *T, value T) {
	var zero T
	if *field == zero && !positions.Has(key) {
		*field = value
	}
}
